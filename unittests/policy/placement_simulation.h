// Gateways that place requests at endpoints by delayed views of each other's usage, in virtual
// time.
#pragma once

#include "cassia/policy/slot_table.h"
#include "cassia/policy/usage_exchange.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

struct simulation_settings {
    std::uint32_t gateways = 3;
    std::uint32_t joining = 1; ///< endpoints that join at once, and later leave at once
    double online_load = 0.7;  ///< part of the slots of the lasting endpoints
    double batch_load = 0.2;
    bool slow_endpoints = false; ///< a tenth of them takes three times as long
    std::uint32_t seed = 1;
    milliseconds duration{3000};
};

struct simulation_result {
    std::uint64_t arrivals = 0; ///< at endpoints
    std::uint64_t rejected = 0;
    std::uint64_t arrivals_at_new = 0; ///< at endpoints that joined during the run
    std::uint64_t rejected_at_new = 0;
    std::uint64_t lost = 0; ///< online requests that were rejected at each of their sends
    std::uint64_t batch_ended = 0;
    std::vector<milliseconds> waits; ///< of online requests, until they run
    /// Part of the slots of new endpoints in use, 0.1 to 0.5 s after joining.
    double new_in_use = 0;

    double rejected_percent() const {
        return 100.0 * rejected / std::max<std::uint64_t>(arrivals, 1);
    }
    double rejected_at_new_percent() const {
        return 100.0 * rejected_at_new / std::max<std::uint64_t>(arrivals_at_new, 1);
    }
    std::int64_t wait_ms(double quantile) {
        std::sort(waits.begin(), waits.end());
        return waits[static_cast<std::size_t>(quantile * (waits.size() - 1))].count();
    }
};

class placement_simulation {
public:
    explicit placement_simulation(const simulation_settings& settings)
        : settings_(settings), random_(settings.seed) {
        for (std::uint32_t i = 0; i < lasting_endpoints; ++i)
            add_endpoint("e" + std::to_string(i), false);
        const peer_group peers = make_peers();
        for (std::uint32_t i = 0; i < settings_.gateways; ++i) {
            gateways_.emplace_back();
            gateways_.back().table.set_endpoints(listed());
            gateways_.back().table.set_peers(peers, peers);
        }
    }

    simulation_result run() {
        schedule_arrival(work_kind::online);
        schedule_arrival(work_kind::batch);
        for (std::size_t i = 0; i < gateways_.size(); ++i)
            at(milliseconds(random_() % tick.count()), [this, i] { poll(i); });
        at(milliseconds(0), [this] { publish_usage(); });
        for (milliseconds join(1000); join < settings_.duration; join += change_interval) {
            at(join, [this] { join_endpoints(); });
            at(join + change_interval / 2, [this] { remove_endpoints(); });
        }
        while (!events_.empty() && events_.top().at < start + settings_.duration) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        result_.new_in_use = samples_ == 0 ? 0 : in_use_ / static_cast<double>(samples_);
        return std::move(result_);
    }

private:
    static constexpr std::uint32_t lasting_endpoints = 125;
    static constexpr std::uint32_t slots = 8;
    static constexpr std::uint32_t max_queued = 24;
    static constexpr milliseconds tick{20};
    static constexpr milliseconds network_time{1};
    static constexpr milliseconds mean_run{250};
    static constexpr milliseconds change_interval{1000};
    static constexpr std::size_t max_sends = 6;
    static constexpr milliseconds batch_retry_delay{100};
    static constexpr instant start = instant(std::chrono::seconds(1000));

    struct job {
        std::size_t gateway = 0;
        work_kind kind = work_kind::online;
        instant arrived_at{};
        endpoint_id endpoint;
        std::set<endpoint_id> rejected_by;
    };
    struct endpoint_state {
        slot_endpoint info;
        bool is_new = false;
        double slowness = 1;
        std::map<std::uint64_t, work_kind> running;
        std::deque<std::uint64_t> queued;
    };
    struct gateway_state {
        slot_table table{zone_id("a")};
        std::deque<std::uint64_t> queued;
        std::deque<std::uint64_t> items; ///< batch items that wait
    };
    struct event {
        instant at{};
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::make_pair(at, number) > std::make_pair(other.at, other.number);
        }
    };

    void at(milliseconds delay, std::function<void()> action) {
        events_.push({now_ + delay, ++event_count_, std::move(action)});
    }

    // A relay publishes sums less often the more gateways report to it.
    milliseconds report_interval() const { return milliseconds(std::max(50U, settings_.gateways)); }

    // Age of a report on receipt: a relay sums up reports of the last 50 ms.
    milliseconds report_delay() const { return milliseconds(settings_.gateways > 20 ? 50 : 20); }

    peer_group make_peers() const {
        usage_exchange exchange(entry_id("g0"), zone_id("a"));
        std::vector<fleet_gateway> others;
        for (std::uint32_t i = 1; i < settings_.gateways; ++i)
            others.push_back({entry_id("g" + std::to_string(i)), zone_id("a")});
        exchange.set_gateways(std::move(others));
        return exchange.peers(true);
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void add_endpoint(const std::string& id, bool is_new) {
        endpoint_state& added = endpoints_[endpoint_id(id)];
        added.info = {endpoint_id(id), 1, http_address(id + ":80"), zone_id("a"), model_,
                      slots,           {}};
        added.is_new = is_new;
        added.slowness = settings_.slow_endpoints && id.back() == '7' ? 3 : 1;
        listed_.insert(endpoint_id(id));
    }

    std::vector<slot_endpoint> listed() const {
        std::vector<slot_endpoint> all;
        for (const endpoint_id& id : listed_)
            all.push_back(endpoints_.at(id).info);
        return all;
    }

    // Gateways learn of a change within one heartbeat's push.
    void publish_endpoints() {
        for (gateway_state& one : gateways_) {
            at(milliseconds(static_cast<int>(50 * draw())),
               [this, &one, all = listed()] { one.table.set_endpoints(all); });
        }
    }

    void join_endpoints() {
        for (std::uint32_t i = 0; i < settings_.joining; ++i) {
            const std::string id = "n" + std::to_string(++joined_);
            add_endpoint(id, true);
            for (int ms = 100; ms < 500; ms += 20) {
                at(milliseconds(ms), [this, id] {
                    in_use_ +=
                        static_cast<double>(endpoints_.at(endpoint_id(id)).running.size()) / slots;
                    ++samples_;
                });
            }
        }
        publish_endpoints();
    }

    void remove_endpoints() {
        std::erase_if(listed_, [this](const endpoint_id& id) { return endpoints_.at(id).is_new; });
        publish_endpoints();
    }

    void schedule_arrival(work_kind kind) {
        const double load =
            kind == work_kind::online ? settings_.online_load : settings_.batch_load;
        std::exponential_distribution<double> gap_us(
            load * lasting_endpoints * slots / static_cast<double>(microseconds(mean_run).count()));
        const microseconds gap(static_cast<std::int64_t>(gap_us(random_)));
        events_.push({now_ + gap, ++event_count_, [this, kind] {
                          const std::uint64_t id = ++job_count_;
                          jobs_[id] = {random_() % gateways_.size(), kind, now_, {}, {}};
                          if (kind == work_kind::online)
                              place_online(id);
                          else
                              gateways_[jobs_[id].gateway].items.push_back(id);
                          schedule_arrival(kind);
                      }});
    }

    bool place_online(std::uint64_t id) {
        job& one = jobs_.at(id);
        gateway_state& gateway = gateways_[one.gateway];
        std::optional<placement> found =
            gateway.table.place_online(model_, one.rejected_by, now_, draw());
        if (!found && !one.rejected_by.empty())
            found = gateway.table.place_online(model_, {}, now_, draw());
        if (!found) {
            gateway.queued.push_back(id);
            return false;
        }
        if (found->yielding_gateway)
            at(5 * network_time, [this, endpoint = found->endpoint] { yield(endpoint); });
        send(id, found->endpoint);
        return true;
    }

    void send(std::uint64_t id, const endpoint_id& endpoint) {
        job& one = jobs_.at(id);
        one.endpoint = endpoint;
        gateways_[one.gateway].table.acquire(endpoint, one.kind);
        at(network_time, [this, id] { arrive(id); });
    }

    void arrive(std::uint64_t id) {
        endpoint_state& endpoint = endpoints_.at(jobs_.at(id).endpoint);
        ++result_.arrivals;
        result_.arrivals_at_new += endpoint.is_new ? 1 : 0;
        if (endpoint.running.size() < slots) {
            start_run(endpoint, id);
        } else if (endpoint.queued.size() < max_queued) {
            endpoint.queued.push_back(id);
        } else {
            ++result_.rejected;
            result_.rejected_at_new += endpoint.is_new ? 1 : 0;
            at(network_time, [this, id] { on_rejected(id); });
        }
    }

    void on_rejected(std::uint64_t id) {
        job& one = jobs_.at(id);
        gateways_[one.gateway].table.release(one.endpoint, one.kind);
        gateways_[one.gateway].table.record_rejection(one.endpoint, now_);
        one.rejected_by.insert(one.endpoint);
        if (one.kind == work_kind::batch) {
            at(batch_retry_delay, [this, id] { enqueue_item(id); });
        } else if (one.rejected_by.size() < max_sends) {
            place_online(id);
        } else {
            ++result_.lost;
            jobs_.erase(id);
        }
    }

    void enqueue_item(std::uint64_t id) {
        jobs_.at(id).rejected_by.clear();
        gateways_[jobs_.at(id).gateway].items.push_back(id);
    }

    void start_run(endpoint_state& endpoint, std::uint64_t id) {
        const job& one = jobs_.at(id);
        endpoint.running[id] = one.kind;
        if (one.kind == work_kind::online)
            result_.waits.push_back(
                std::chrono::duration_cast<milliseconds>(now_ - one.arrived_at));
        const milliseconds run(static_cast<int>(static_cast<double>(mean_run.count()) *
                                                (0.6 + 0.8 * draw()) * endpoint.slowness));
        at(run, [this, id] { end_run(id, true); });
    }

    void end_run(std::uint64_t id, bool finished) {
        auto found = jobs_.find(id);
        if (found == jobs_.end())
            return;
        const job one = found->second;
        jobs_.erase(found);
        result_.batch_ended += finished && one.kind == work_kind::batch ? 1 : 0;
        endpoint_state& endpoint = endpoints_.at(one.endpoint);
        endpoint.running.erase(id);
        if (!endpoint.queued.empty()) {
            const std::uint64_t next = endpoint.queued.front();
            endpoint.queued.pop_front();
            start_run(endpoint, next);
        }
        at(network_time, [this, one] {
            gateways_[one.gateway].table.release(one.endpoint, one.kind);
            gateways_[one.gateway].table.record_success(one.endpoint);
            dispatch_queued(gateways_[one.gateway]);
        });
    }

    void yield(const endpoint_id& id) {
        const endpoint_state& endpoint = endpoints_.at(id);
        for (const std::pair<const std::uint64_t, work_kind>& one : endpoint.running) {
            if (one.second == work_kind::batch && endpoint.running.size() >= slots) {
                const job item = jobs_.at(one.first);
                end_run(one.first, false);
                const std::uint64_t again = ++job_count_;
                jobs_[again] = {item.gateway, work_kind::batch, now_, {}, {}};
                gateways_[item.gateway].items.push_back(again);
                return;
            }
        }
    }

    void dispatch_queued(gateway_state& gateway) {
        while (!gateway.queued.empty()) {
            const std::uint64_t id = gateway.queued.front();
            gateway.queued.pop_front();
            if (!place_online(id)) {
                std::rotate(gateway.queued.begin(), gateway.queued.end() - 1, gateway.queued.end());
                return;
            }
        }
    }

    void poll(std::size_t gateway) {
        dispatch_queued(gateways_[gateway]);
        std::deque<std::uint64_t>& items = gateways_[gateway].items;
        while (!items.empty()) {
            const std::optional<placement> found =
                gateways_[gateway].table.place_batch(model_, {}, now_, draw());
            if (!found)
                break;
            const std::uint64_t id = items.front();
            items.pop_front();
            send(id, found->endpoint);
        }
        at(tick, [this, gateway] { poll(gateway); });
    }

    void publish_usage() {
        slot_usage_map all;
        std::vector<slot_usage_map> own;
        for (gateway_state& one : gateways_) {
            one.table.expire_remote_usage(now_);
            own.push_back(one.table.own_usage());
            add_usage(all, own.back());
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            slot_usage_map others = all;
            for (const std::pair<const endpoint_id, slot_usage>& one : own[i]) {
                others[one.first].online -= one.second.online;
                others[one.first].batch -= one.second.batch;
            }
            at(report_delay(), [this, i, others = std::move(others)] {
                gateways_[i].table.set_remote_usage(entry_id("zone a"), others, now_);
            });
        }
        at(report_interval(), [this] { publish_usage(); });
    }

    simulation_settings settings_;
    std::mt19937 random_;
    instant now_ = start;
    const service_id model_{"model"};
    std::deque<gateway_state> gateways_;
    std::map<endpoint_id, endpoint_state> endpoints_;
    std::set<endpoint_id> listed_;
    std::map<std::uint64_t, job> jobs_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::uint64_t job_count_ = 0;
    std::uint32_t joined_ = 0;
    std::uint64_t samples_ = 0;
    double in_use_ = 0;
    simulation_result result_;
};

} // namespace cassia::policy
