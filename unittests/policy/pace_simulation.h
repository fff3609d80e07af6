// Short calls through gateways to endpoints whose speed changes, in virtual time.
#pragma once

#include "cassia/policy/usage_exchange.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

/// What placement knows of the speed of endpoints.
enum class pace_knowledge {
    none,    ///< slots in use only
    reports, ///< the reports of responses to the same gateway
    shared,  ///< also those of other gateways, as old as their usage
    passed,  ///< the same by the messages that gateways send each other
    runs,    ///< how long runs of the same gateway took
    known,   ///< the current speeds
    best,    ///< the current speeds and use of slots, and the endpoint that is done first
};

enum class report_fault { none, lost, random, frozen_slow, frozen_usual, reversed };

struct pace_settings {
    pace_knowledge knowledge = pace_knowledge::none;
    std::uint32_t gateways = 18;
    std::uint32_t endpoints = 4;
    std::uint32_t slots = 6;
    std::uint32_t zones = 4;
    double calls_per_s = 93;
    milliseconds run_time{30};
    milliseconds target{200};
    milliseconds network_time{1};
    double slow_factor = 2.5;
    double slow_share = 0.15;    ///< part of the spans of 600 ms
    double permanent_factor = 1; ///< of each third endpoint
    bool waves = true;           ///< 0.38 to 1.85 times the mean
    bool sends_pace = true;      ///< reports have the fourth field
    milliseconds report_age{0};
    report_fault fault = report_fault::none;
    std::uint32_t seed = 1;
    milliseconds duration{60000};
};

struct pace_result {
    std::vector<double> times_ms;
    milliseconds target{0};
    std::size_t contradictions = 0;
    std::map<endpoint_id, std::uint32_t> runs;
    std::uint32_t most_running = 0; ///< running and queued at one endpoint

    double late_share() const {
        const auto late = [this](double ms) { return ms > static_cast<double>(target.count()); };
        return static_cast<double>(std::count_if(times_ms.begin(), times_ms.end(), late)) /
               static_cast<double>(times_ms.size());
    }
    double quantile(double q) {
        std::sort(times_ms.begin(), times_ms.end());
        return times_ms[static_cast<std::size_t>(q * static_cast<double>(times_ms.size() - 1))];
    }
    double mean() const {
        double sum = 0;
        for (const double ms : times_ms)
            sum += ms;
        return sum / static_cast<double>(times_ms.size());
    }
};

class pace_simulation {
public:
    explicit pace_simulation(const pace_settings& settings)
        : settings_(settings), random_(settings.seed) {
        for (std::uint32_t i = 0; i < settings_.endpoints; ++i) {
            const std::string id = "e" + std::to_string(i);
            endpoints_.push_back({{endpoint_id(id),
                                   1,
                                   http_address(id + ":80"),
                                   zone(i),
                                   service_,
                                   settings_.slots,
                                   {}},
                                  0,
                                  {}});
        }
        std::vector<slot_endpoint> listed;
        for (const endpoint_state& one : endpoints_)
            listed.push_back(one.info);
        const std::uint32_t in_zone = std::max(settings_.gateways / settings_.zones, 1U);
        for (std::uint32_t i = 0; i < settings_.gateways; ++i) {
            slot_table& table = gateways_.emplace_back(zone(i));
            table.set_endpoints(listed);
            table.set_peers({in_zone - 1, 2 * usage_interval()},
                            {settings_.gateways - 1, 2 * usage_interval() + milliseconds(200)});
            table.pace().set_source(settings_.knowledge == pace_knowledge::none ? pace_source::none
                                    : settings_.knowledge == pace_knowledge::runs
                                        ? pace_source::runs
                                        : pace_source::reports);
        }
        if (settings_.knowledge == pace_knowledge::passed)
            connect_gateways();
    }

    pace_result run() {
        result_.target = settings_.target;
        schedule_call();
        at(microseconds(0), [this] { publish_usage(); });
        for (std::size_t i = 0; i < exchanges_.size(); ++i)
            at(poll_interval * i / exchanges_.size(), [this, i] { poll_exchange(i); });
        while (events_.top().at < start + settings_.duration) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        return std::move(result_);
    }

private:
    static constexpr instant start = instant(std::chrono::seconds(1000));
    static constexpr milliseconds span{600};
    static constexpr microseconds poll_interval{50000};
    static constexpr double fuller_part = 0.3; ///< by which runs take longer at a full endpoint

    struct call {
        std::size_t gateway = 0;
        instant arrived_at{};
        instant sent_at{};
        std::size_t endpoint = 0;
        double size = 1;
    };
    struct endpoint_state {
        slot_endpoint info;
        std::uint32_t running = 0;
        std::deque<call> queued;
    };
    struct event {
        instant at{};
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::make_pair(at, number) > std::make_pair(other.at, other.number);
        }
    };

    void at(microseconds delay, std::function<void()> action) {
        events_.push({now_ + delay, ++event_count_, std::move(action)});
    }

    zone_id zone(std::uint32_t i) const { return zone_id(std::to_string(i % settings_.zones)); }
    milliseconds usage_interval() const { return milliseconds(std::max(50U, settings_.gateways)); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    /// The same for all kinds of knowledge, as it depends on seed, endpoint and time only.
    double pace(std::size_t endpoint, instant when) const {
        std::seed_seq seed{settings_.seed, static_cast<std::uint32_t>(endpoint),
                           static_cast<std::uint32_t>((when - instant()) / span)};
        std::uint32_t value = 0;
        seed.generate(&value, &value + 1);
        const double permanent = endpoint % 3 == 2 ? settings_.permanent_factor : 1;
        return permanent *
               (value < settings_.slow_share * 4294967296.0 ? settings_.slow_factor : 1);
    }

    load_report report_of(std::size_t endpoint) {
        const endpoint_state& one = endpoints_[endpoint];
        load_report report{one.running, static_cast<std::uint32_t>(one.queued.size()),
                           settings_.slots, std::nullopt};
        if (!settings_.sends_pace)
            return report;
        report.pace_percent = 100 * pace(endpoint, now_ - settings_.report_age);
        if (settings_.fault == report_fault::lost && draw() < 0.5)
            report.pace_percent = std::nullopt;
        if (settings_.fault == report_fault::random)
            report.pace_percent = draw() < 0.5 ? 100 : 250;
        if (settings_.fault == report_fault::frozen_slow && endpoint == 0)
            report.pace_percent = 250;
        if (settings_.fault == report_fault::frozen_usual && endpoint == 0)
            report.pace_percent = 100;
        if (settings_.fault == report_fault::reversed)
            report.pace_percent = pace(endpoint, now_) > 1 ? 100 : 250;
        return report;
    }

    double wave() const {
        constexpr std::int64_t period_ms = 5200;
        constexpr std::int64_t peak_ms = 2200;
        const std::int64_t ms =
            std::chrono::duration_cast<milliseconds>(now_ - start).count() % period_ms;
        return !settings_.waves ? 1 : ms < peak_ms ? 1.85 : 0.38;
    }

    void schedule_call() {
        std::exponential_distribution<double> gap_s(settings_.calls_per_s * wave());
        const microseconds gap(static_cast<std::int64_t>(gap_s(random_) * 1e6));
        at(gap, [this] {
            call one{random_() % gateways_.size(), now_, {}, 0, draw() < 0.1 ? 2.0 : 1.0};
            place(one);
            schedule_call();
        });
    }

    double time_left(std::size_t endpoint) const {
        const endpoint_state& one = endpoints_[endpoint];
        const double ahead = std::max(0.0, 1.0 + one.running + one.queued.size() - settings_.slots);
        const double fuller =
            1 + fuller_part * std::min(one.running, settings_.slots) / settings_.slots;
        return pace(endpoint, now_) * fuller * (1 + ahead / settings_.slots);
    }

    std::size_t choose_best() const {
        std::size_t best = 0;
        for (std::size_t i = 1; i < endpoints_.size(); ++i)
            best = time_left(i) < time_left(best) ? i : best;
        return best;
    }

    void place(call one) {
        slot_table& table = gateways_[one.gateway];
        if (settings_.knowledge == pace_knowledge::known) {
            for (std::size_t i = 0; i < endpoints_.size(); ++i)
                table.pace().record_report(endpoints_[i].info.id, {0, 0, 0, 100 * pace(i, now_)},
                                           now_);
        }
        const double fraction = draw();
        if (settings_.knowledge == pace_knowledge::best) {
            one.endpoint = choose_best();
        } else {
            const std::optional<placement> found = table.place_online(service_, {}, now_, fraction);
            if (!found) {
                at(milliseconds(20), [this, one] { place(one); });
                return;
            }
            one.endpoint = std::stoul(found->endpoint.str().substr(1));
        }
        one.sent_at = now_;
        table.acquire(endpoints_[one.endpoint].info.id, work_kind::online);
        at(settings_.network_time, [this, one] { arrive(one); });
    }

    void arrive(const call& one) {
        endpoint_state& endpoint = endpoints_[one.endpoint];
        if (endpoint.running < settings_.slots)
            begin(endpoint, one);
        else
            endpoint.queued.push_back(one);
        result_.most_running =
            std::max(result_.most_running,
                     endpoint.running + static_cast<std::uint32_t>(endpoint.queued.size()));
    }

    // Fuller endpoints and larger requests take longer.
    void begin(endpoint_state& endpoint, const call& one) {
        ++endpoint.running;
        ++result_.runs[endpoint.info.id];
        std::lognormal_distribution<double> noise(0, 0.3);
        const double fuller = 1 + fuller_part * (endpoint.running - 1) / settings_.slots;
        const double factor = pace(one.endpoint, now_) * fuller * one.size * noise(random_);
        const microseconds time(static_cast<std::int64_t>(
            factor * static_cast<double>(microseconds(settings_.run_time).count())));
        at(time, [this, one] { end(one); });
    }

    void end(const call& one) {
        endpoint_state& endpoint = endpoints_[one.endpoint];
        const load_report report = report_of(one.endpoint);
        --endpoint.running;
        if (!endpoint.queued.empty()) {
            const call next = endpoint.queued.front();
            endpoint.queued.pop_front();
            begin(endpoint, next);
        }
        at(settings_.network_time, [this, one, report] { on_response(one, report); });
    }

    void on_response(const call& one, const load_report& report) {
        const endpoint_id& id = endpoints_[one.endpoint].info.id;
        slot_table& table = gateways_[one.gateway];
        table.release(id, work_kind::online);
        result_.times_ms.push_back(
            std::chrono::duration<double, std::milli>(now_ - one.arrived_at).count());
        if (settings_.knowledge == pace_knowledge::known)
            return;
        table.pace().record_report(id, report, now_);
        const run_shape shape{false, one.size > 1 ? 4000U : 1000U, report.running + report.waiting};
        const microseconds taken = std::chrono::duration_cast<microseconds>(now_ - one.sent_at);
        if (table.pace().record_run(id, shape, taken, now_))
            ++result_.contradictions;
        if (settings_.knowledge == pace_knowledge::shared) {
            for (slot_table& other : gateways_) {
                at(usage_interval() * 3 / 2, [&other, id, report, then = now_] {
                    other.pace().record_report(id, report, then);
                });
            }
        }
    }

    void publish_usage() {
        slot_usage_map all;
        std::vector<slot_usage_map> own;
        for (slot_table& one : gateways_) {
            one.expire_remote_usage(now_);
            own.push_back(one.own_usage());
            add_usage(all, own.back());
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            slot_usage_map others = all;
            subtract_usage(others, own[i]);
            at(milliseconds(settings_.gateways > 20 ? 50 : 20),
               [this, i, others = std::move(others)] {
                   gateways_[i].set_remote_usage(entry_id("others"), others, now_);
               });
        }
        at(usage_interval(), [this] { publish_usage(); });
    }

    entry_id gateway_name(std::size_t i) const { return entry_id("g" + std::to_string(i)); }

    void connect_gateways() {
        for (std::uint32_t i = 0; i < settings_.gateways; ++i) {
            std::vector<fleet_gateway> others;
            for (std::uint32_t j = 0; j < settings_.gateways; ++j) {
                if (j != i)
                    others.push_back({gateway_name(j), zone(j)});
            }
            exchanges_.emplace_back(gateway_name(i), zone(i)).set_gateways(others);
        }
    }

    void poll_exchange(std::size_t i) {
        for (const usage_message& message : exchanges_[i].poll(
                 gateways_[i].own_usage(), now_, gateways_[i].pace().own_reports(now_)))
            at(settings_.network_time, [this, i, message] { deliver(i, message); });
        at(poll_interval, [this, i] { poll_exchange(i); });
    }

    // The time on the network isn't part of a report's age.
    void deliver(std::size_t from, usage_message message) {
        const std::size_t to = std::stoul(message.to.str().substr(1));
        for (auto& one : message.paces)
            one.second.reported_at += settings_.network_time;
        const entry_id sender = gateway_name(from);
        if (message.kind == usage_message::content::report) {
            exchanges_[to].receive_report(sender, message.own, now_, message.paces);
            return;
        }
        if (message.kind == usage_message::content::own_use || to == from ||
            exchanges_[to].receive_sums(sender, zone(static_cast<std::uint32_t>(from)),
                                        message.zones, now_, message.paces))
            gateways_[to].pace().record_shared(message.paces);
    }

    pace_settings settings_;
    std::mt19937 random_;
    instant now_ = start;
    const service_id service_{"plain"};
    std::deque<slot_table> gateways_;
    std::deque<usage_exchange> exchanges_;
    std::vector<endpoint_state> endpoints_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    pace_result result_;
};

} // namespace cassia::policy
