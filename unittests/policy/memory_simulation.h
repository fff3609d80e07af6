// Gateways that send requests of unlike sizes to endpoints with limited memory, in virtual time.
#pragma once

#include "cassia/policy/slot_table.h"
#include "cassia/policy/usage_exchange.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cassia::policy {

struct memory_settings {
    std::uint32_t gateways = 18;
    std::uint32_t zones = 1; ///< over which the gateways are spread; reports are as old as in one
    std::uint32_t endpoints = 44;
    double load = 0.6; ///< part of the slots
    double large_part = 0.1;
    std::uint64_t small_tokens = 9000; ///< at most
    std::uint64_t large_tokens = 80000;
    milliseconds run_time{700}; ///< mean
    bool states_tokens = true;  ///< without, placement knows nothing of memory
    std::uint32_t seed = 1;
    milliseconds duration{10000};
};

struct memory_result {
    std::uint32_t crashes = 0;
    std::uint32_t lost = 0; ///< requests at endpoints that crashed
    std::uint32_t arrived = 0;
    std::uint32_t served = 0;
    std::uint32_t large_arrived = 0;
    std::uint32_t large_served = 0;
    std::vector<std::int64_t> small_waits; ///< ms until sent
    std::vector<std::int64_t> large_waits;

    static std::int64_t quantile(std::vector<std::int64_t> waits, double part) {
        if (waits.empty())
            return 0;
        std::sort(waits.begin(), waits.end());
        return waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))];
    }
};

class memory_simulation {
public:
    explicit memory_simulation(const memory_settings& settings)
        : settings_(settings), random_(settings.seed), ends_(settings.endpoints) {
        usage_exchange exchange(entry_id("g0"), zone_id("a"));
        std::vector<fleet_gateway> others;
        for (std::uint32_t i = 1; i < settings_.gateways / settings_.zones; ++i)
            others.push_back({entry_id("g" + std::to_string(i)), zone_id("a")});
        exchange.set_gateways(std::move(others));
        peers_ = exchange.peers(true);
        std::vector<slot_endpoint> listed;
        for (std::uint32_t i = 0; i < settings_.endpoints; ++i)
            listed.push_back({name(i),
                              1,
                              http_address("e" + std::to_string(i) + ":80"),
                              zone_id("a"),
                              model,
                              slots,
                              {}});
        for (std::uint32_t i = 0; i < settings_.gateways; ++i) {
            gateways_.emplace_back();
            gateways_.back().table.set_endpoints(listed);
            gateways_.back().table.set_peers(peers_, peers_);
            gateways_.back().table.set_memory_seed(random_());
            gateways_.back().table.set_memory_limits({{model, limit}});
        }
    }

    memory_result run() {
        const std::int64_t report_every = std::max<std::int64_t>(peers_.usage_age / step / 2, 1);
        for (std::int64_t tick = 0; tick < settings_.duration / step; ++tick) {
            now_ += step;
            // What is received now was sent half of the usage's greatest age ago.
            if (tick % report_every == 0)
                exchange_usage();
            arrive();
            end_runs();
            for (gateway_state& one : gateways_) {
                if (tick % (usage_interval / step) == 0)
                    one.table.expire_remote_usage(now_);
                if (tick % (tick_interval / step) == 0)
                    dispatch(one);
            }
        }
        return std::move(result_);
    }

    static constexpr std::uint64_t limit = 101495;

private:
    static constexpr std::uint32_t slots = 8;
    static constexpr milliseconds step{5};
    static constexpr milliseconds usage_interval{50};
    static constexpr milliseconds tick_interval{20};
    inline static const service_id model{"model"};

    struct request {
        std::size_t gateway = 0;
        std::uint64_t tokens = 0;
        bool is_large = false;
        instant arrived{};
        instant ends{}; ///< while it runs
    };
    struct gateway_state {
        slot_table table{zone_id("a")};
        std::deque<request> small;
        std::deque<request> large;
        slot_usage_map reported;
    };
    struct endpoint_state {
        std::vector<request> running;
        std::deque<request> queued;
        std::uint64_t held = 0;
    };

    static endpoint_id name(std::size_t i) { return endpoint_id("e" + std::to_string(i)); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    void exchange_usage() {
        slot_usage_map sum;
        for (const gateway_state& one : gateways_)
            add_usage(sum, one.reported);
        for (gateway_state& one : gateways_) {
            slot_usage_map others = sum;
            subtract_usage(others, one.reported);
            one.table.set_remote_usage(entry_id("others"), std::move(others), now_);
        }
        for (gateway_state& one : gateways_)
            one.reported = one.table.own_usage();
    }

    void arrive() {
        const double mean = settings_.load * slots * settings_.endpoints *
                            static_cast<double>(step.count()) /
                            static_cast<double>(settings_.run_time.count());
        const int count = std::poisson_distribution<int>(mean)(random_);
        for (int i = 0; i < count; ++i) {
            request one;
            one.gateway = random_() % gateways_.size();
            one.is_large = draw() < settings_.large_part;
            const double most =
                static_cast<double>(one.is_large ? settings_.large_tokens : settings_.small_tokens);
            one.tokens = static_cast<std::uint64_t>(most * (0.25 + 0.75 * draw()));
            one.arrived = now_;
            ++result_.arrived;
            result_.large_arrived += one.is_large ? 1 : 0;
            gateway_state& gateway = gateways_[one.gateway];
            if (!place(gateway, one))
                (one.is_large ? gateway.large : gateway.small).push_back(one);
        }
    }

    bool place(gateway_state& gateway, const request& one) {
        const std::uint64_t tokens = settings_.states_tokens ? one.tokens : 0;
        gateway.table.reserve_memory(model, work_kind::online, tokens, {}, now_, draw());
        const std::optional<placement> found =
            gateway.table.place_online(model, {}, now_, draw(), {}, tokens);
        if (!found)
            return false;
        gateway.table.acquire(found->endpoint, work_kind::online, tokens);
        (one.is_large ? result_.large_waits : result_.small_waits)
            .push_back((now_ - one.arrived) / std::chrono::milliseconds(1));
        receive(static_cast<std::size_t>(std::stoi(found->endpoint.str().substr(1))), one);
        return true;
    }

    void receive(std::size_t index, const request& one) {
        endpoint_state& endpoint = ends_[index];
        endpoint.held += one.tokens;
        endpoint.queued.push_back(one);
        if (endpoint.held <= limit) {
            start_runs(endpoint);
            return;
        }
        ++result_.crashes;
        for (const request& lost : endpoint.running)
            lose(index, lost);
        for (const request& lost : endpoint.queued)
            lose(index, lost);
        endpoint = endpoint_state();
    }

    void lose(std::size_t index, const request& one) {
        ++result_.lost;
        release(index, one);
    }

    void release(std::size_t index, const request& one) {
        gateways_[one.gateway].table.release(name(index), work_kind::online,
                                             settings_.states_tokens ? one.tokens : 0);
    }

    void start_runs(endpoint_state& endpoint) {
        while (!endpoint.queued.empty() && endpoint.running.size() < slots) {
            request one = endpoint.queued.front();
            endpoint.queued.pop_front();
            one.ends = now_ + std::chrono::duration_cast<milliseconds>((0.5 + draw()) *
                                                                       settings_.run_time);
            endpoint.running.push_back(one);
        }
    }

    void end_runs() {
        for (std::size_t i = 0; i < ends_.size(); ++i) {
            endpoint_state& endpoint = ends_[i];
            const auto ended = [this](const request& one) { return now_ >= one.ends; };
            for (const request& one : endpoint.running) {
                if (!ended(one))
                    continue;
                endpoint.held -= one.tokens;
                release(i, one);
                ++result_.served;
                result_.large_served += one.is_large ? 1 : 0;
            }
            std::erase_if(endpoint.running, ended);
            start_runs(endpoint);
        }
    }

    void dispatch(gateway_state& gateway) {
        for (std::deque<request>* line : {&gateway.large, &gateway.small}) {
            while (!line->empty() && place(gateway, line->front()))
                line->pop_front();
        }
    }

    memory_settings settings_;
    std::mt19937 random_;
    peer_group peers_;
    std::vector<gateway_state> gateways_;
    std::vector<endpoint_state> ends_;
    instant now_ = instant(std::chrono::seconds(1000));
    memory_result result_;
};

} // namespace cassia::policy
