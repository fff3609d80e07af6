/// Simulation of gateways whose callers compete for scarce slots, in virtual time.
#pragma once

#include "scarce_slots_load.h"

namespace cassia::scarce_test {

class scarce_fleet {
public:
    explicit scarce_fleet(const scenario& chosen) : set_(chosen), random_(chosen.seed) {
        std::vector<slot_endpoint> list;
        for (std::uint32_t i = 0; i < endpoints; ++i)
            list.push_back(
                {endpoint_name(i), 1, http_address("e:1"), zone_of(i), model_, slots_each, {}});
        std::map<team_id, double> weights;
        for (std::size_t i = 0; i < team_count; ++i)
            weights[team_name(i)] = team_weight(i);
        for (std::size_t i = 0; i < set_.gateways; ++i) {
            gateways_.push_back(std::make_unique<gateway>(gateway_name(i), zone_of(i)));
            gateway& one = *gateways_.back();
            one.slots.set_endpoints(list);
            if (set_.by_share)
                one.shares.set_weights(weights);
            one.shares.set_capacity(endpoints * slots_each);
            if (set_.by_share)
                one.queue.set_shares(&one.shares);
            std::vector<fleet_gateway> others;
            for (std::size_t j = 0; j < set_.gateways; ++j) {
                if (j != i)
                    others.push_back({gateway_name(j), zone_of(j)});
            }
            one.exchange.set_gateways(others);
            one.slots.set_peers(one.exchange.peers(true), one.exchange.peers(false));
        }
        for (std::uint32_t i = 0; i < endpoints; ++i)
            at_[endpoint_name(i)] = {};
    }

    outcome run() {
        const auto steps = static_cast<std::size_t>(set_.seconds * 1000 / step.count());
        for (std::size_t i = 0; i < steps; ++i) {
            now_ += step;
            end_runs();
            deliver();
            arrive();
            for (std::size_t g = 0; g < gateways_.size(); ++g) {
                if (is_frozen(g))
                    continue;
                if ((i + g) % 2 == 0)
                    tick(g);
                if ((i + g) % 5 == 0)
                    share(g);
            }
            run_batch();
        }
        for (std::size_t g = 0; g < gateways_.size(); ++g) {
            const double bytes = gateways_[g]->team_bytes / set_.seconds;
            result_.team_bytes += bytes / static_cast<double>(gateways_.size());
            result_.most_team_bytes = std::max(result_.most_team_bytes, bytes);
        }
        return result_;
    }

private:
    double seconds() const { return std::chrono::duration<double>(now_ - start_).count(); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    bool is_frozen(std::size_t g) const {
        if (set_.relay_fault == fault::none || g != relay_ || seconds() < 8)
            return false;
        return set_.relay_fault == fault::lost_relay || seconds() < 12;
    }

    void end_runs() {
        while (!runs_.empty() && runs_.begin()->first <= now_) {
            const running ended = runs_.begin()->second;
            runs_.erase(runs_.begin());
            release(ended);
        }
    }

    void release(const running& ended) {
        gateway& one = *gateways_[ended.gateway];
        std::pair<std::uint32_t, std::uint32_t>& used = at_.at(ended.endpoint);
        --(ended.kind == work_kind::online ? used.first : used.second);
        one.slots.release(ended.endpoint, ended.kind);
        if (ended.kind == work_kind::batch)
            return;
        one.shares.release(ended.team, now_);
        for (slot_forecast& forecast : one.forecasts)
            forecast.record_run(now_ - ended.began);
        if (!is_frozen(ended.gateway))
            dispatch(ended.gateway);
    }

    void arrive() {
        const double at_s = seconds();
        for (std::size_t i = 0; i < team_count; ++i) {
            const bool hot = i == hot_team && at_s >= 6 && at_s < 16;
            const double rate = set_.streams_per_s * wave(at_s) * (hot ? set_.hot_factor : 1) *
                                team_weight(i) / total_weight();
            const double mean = rate * static_cast<double>(step.count()) / 1000;
            for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n)
                begin({i, now_}, set_.hot_at_one && hot);
        }
        if (set_.returning > 0 && at_s >= 8 && !returned_) {
            returned_ = true;
            for (std::size_t i = 0; i < set_.returning; ++i)
                begin({random_() % team_count, now_}, false);
        }
        while (!later_.empty() && later_.begin()->first <= now_) {
            const arrival one = later_.begin()->second;
            later_.erase(later_.begin());
            submit(one);
        }
    }

    void begin(const arrival& one, bool at_few) {
        if (seconds() < 2) { // until averages are known
            submit(one, at_few);
            return;
        }
        result_.teams[one.team].callers += 1;
        submit(one, at_few);
    }

    void submit(const arrival& one, bool at_few = false) {
        std::size_t g =
            random_() % (at_few ? std::max<std::size_t>(set_.gateways / 10, 1) : set_.gateways);
        while (is_frozen(g))
            g = random_() % set_.gateways;
        gateway& chosen = *gateways_[g];
        request added{one.team, one.first_arrived, {}, {}};
        added.queued.id = exchange_id(++last_id_);
        added.queued.service = model_;
        added.queued.team = team_name(one.team);
        added.queued.priority = one.team % 5 == 0 ? 0 : 1;
        added.queued.arrived = now_;
        added.queued.target_deadline = now_ + target - first_event;
        added.queued.expires_at =
            std::min(now_ + send_limit, one.first_arrived + caller_deadline - milliseconds(50));
        chosen.queue.add(added.queued);
        chosen.waiting[added.queued.id] = added;
        ++result_.requests;
        for (slot_forecast& forecast : chosen.forecasts)
            forecast.record_arrival(now_);
        dispatch(g);
        auto queued = chosen.waiting.find(added.queued.id);
        if (queued == chosen.waiting.end())
            return;
        if (const std::optional<slot_estimate> slot =
                forecast_of(chosen, added.queued).estimate(load(chosen), chosen.queue.size() - 1))
            queued->second.forecast = slot->expected;
    }

    void dispatch(std::size_t g) {
        gateway& one = *gateways_[g];
        while (const std::optional<exchange_id> next =
                   one.queue.next({model_, {}}, now_, load(one).is_reserve_only())) {
            const std::optional<placement> found =
                one.slots.place_online(model_, {}, now_, uniform());
            if (!found)
                return;
            std::pair<std::uint32_t, std::uint32_t>& used = at_.at(found->endpoint);
            if (used.first + used.second >= slots_each && used.second > 0 &&
                found->yielding_gateway)
                stop_batch(found->endpoint);
            if (used.first + used.second >= slots_each) {
                ++result_.refused_by_endpoint;
                one.slots.record_rejection(found->endpoint, now_);
                return; // a round trip later, at the next tick
            }
            send(g, one.waiting.at(*next), found->endpoint);
        }
    }

    void send(std::size_t g, const request& sent, const endpoint_id& endpoint) {
        gateway& one = *gateways_[g];
        if (sent.forecast > milliseconds(0))
            forecast_of(one, sent.queued).record_wait(sent.forecast, now_ - sent.queued.arrived);
        note_overtaken(one, sent.queued);
        one.queue.remove_served(sent.queued.id);
        one.slots.acquire(endpoint, work_kind::online);
        one.slots.record_success(endpoint);
        one.shares.acquire(sent.queued.team, now_);
        ++at_.at(endpoint).first;
        const milliseconds run(static_cast<std::int64_t>(400 + 600 * uniform()));
        runs_.emplace(now_ + run, running{g, endpoint, sent.queued.team, now_, work_kind::online});
        if (sent.first_arrived >= start_ + milliseconds(2000)) {
            team_result& team = result_.teams[sent.team];
            team.served += 1;
            team.on_time += now_ + first_event <= sent.first_arrived + target ? 1 : 0;
            team.wait_s += std::chrono::duration<double>(now_ - sent.first_arrived).count();
        }
        one.waiting.erase(sent.queued.id);
    }

    /// Counts rejected requests that would have had the slot of this one within their target.
    void note_overtaken(gateway& one, const queued_request& sent) {
        for (auto other = one.rejected.begin(); other != one.rejected.end(); ++other) {
            one.queue.add(*other);
            const std::optional<exchange_id> next =
                one.queue.next({model_, {}}, now_, load(one).is_reserve_only());
            one.queue.remove(other->id);
            if (next != other->id || sent.id == other->id)
                continue;
            ++result_.needless;
            one.rejected.erase(other);
            return;
        }
    }

    void tick(std::size_t g) {
        gateway& one = *gateways_[g];
        one.slots.expire_remote_usage(now_);
        one.shares.expire(now_);
        std::erase_if(one.rejected, [this](const queued_request& rejected) {
            return now_ > rejected.target_deadline;
        });
        if (one.queue.size() == 0 && !one.rejected.empty() &&
            one.slots.place_online(model_, {}, now_, uniform())) {
            ++result_.needless;
            one.rejected.pop_back();
        }
        for (const exchange_id id : one.queue.expired(now_)) {
            const request given_up = one.waiting.at(id);
            forecast_of(one, given_up.queued)
                .record_wait(given_up.forecast, now_ - given_up.queued.arrived);
            ++result_.futile;
            end(g, given_up, milliseconds(400));
        }
        dispatch(g);
        if (set_.refuse_ahead)
            reject_ahead(g);
    }

    void reject_ahead(std::size_t g) {
        gateway& one = *gateways_[g];
        const std::vector<queued_request> waiting = one.queue.in_order({model_, {}}, now_);
        for (const bool over : {false, true}) {
            std::vector<queued_request> some;
            for (const queued_request& other : waiting) {
                if (one.queue.is_over_share(other, now_) == over)
                    some.push_back(other);
            }
            slot_forecast& forecast = one.forecasts[over ? 1 : 0];
            fleet_slots fleet = load(one);
            if (over)
                fleet.keep_reserve();
            for (const queued_request& rejected : forecast.missing_deadline(some, fleet, now_)) {
                const request given_up = one.waiting.at(rejected.id);
                const std::optional<milliseconds> after = forecast.plan_return(
                    fleet, some.size(), rejected.priority, left_of(given_up), target, now_);
                if (!after)
                    continue;
                ++result_.rejected;
                result_.rejected_late += now_ - rejected.arrived > target ? 1 : 0;
                one.rejected.push_back(rejected);
                end(g, given_up, *after);
            }
        }
    }

    fleet_slots load(const gateway& one) const { return one.slots.fleet_load(model_, {}, now_); }
    slot_forecast& forecast_of(gateway& one, const queued_request& request) const {
        return one.forecasts[one.queue.is_over_share(request, now_) ? 1 : 0];
    }

    milliseconds left_of(const request& one) const {
        return std::chrono::duration_cast<milliseconds>(one.first_arrived + caller_deadline - now_);
    }

    void end(std::size_t g, const request& given_up, milliseconds retry_after) {
        gateways_[g]->queue.remove(given_up.queued.id);
        const milliseconds left = left_of(given_up);
        if (left > milliseconds(150))
            later_.emplace(now_ + std::min(retry_after, left / 3),
                           arrival{given_up.team, given_up.first_arrived});
        else if (given_up.first_arrived >= start_ + milliseconds(2000))
            result_.teams[given_up.team].wait_s += 5;
        gateways_[g]->waiting.erase(given_up.queued.id);
    }

    void share(std::size_t g) {
        gateway& one = *gateways_[g];
        for (usage_message& sent :
             one.exchange.poll(one.slots.own_usage(), now_, one.shares.own_use(now_))) {
            if (sent.to == gateway_name(g)) {
                accept(g, g, sent);
                continue;
            }
            const auto size = [](const team_use_map& use) {
                double bytes = 0;
                for (const std::pair<const team_id, double>& team : use)
                    bytes += 7 + static_cast<double>(team.first.str().size());
                return bytes;
            };
            one.team_bytes += sent.teams ? size(*sent.teams) : 0;
            relay_ = sent.kind == usage_message::content::report && seconds() < 8 && relay_ == 0
                         ? index_of(sent.to)
                         : relay_;
            messages_.push_back({g, std::move(sent)});
        }
    }

    void deliver() {
        const std::vector<message> due = std::exchange(messages_, {});
        for (const message& one : due) {
            const std::size_t to = index_of(one.content.to);
            if (!is_frozen(to))
                accept(to, one.from, one.content);
        }
    }

    void accept(std::size_t to, std::size_t from, const usage_message& content) {
        gateway& one = *gateways_[to];
        const entry_id sender = gateway_name(from);
        if (content.kind == usage_message::content::own_use) {
            one.slots.set_remote_usage(sender, content.own, now_);
            if (content.teams)
                one.shares.set_remote_use(sender, *content.teams, now_);
            return;
        }
        if (content.kind == usage_message::content::report) {
            one.exchange.receive_report(sender, content.own, now_, content.teams);
            return;
        }
        if (to != from &&
            !one.exchange.receive_sums(sender, zone_of(from), content.zones, now_, content.teams))
            return;
        for (const zone_usage_map::value_type& zone : content.zones)
            one.slots.set_remote_usage(usage_exchange::zone_key(zone.first), *zone.second, now_);
        if (content.teams && zone_of(from) == zone_of(to))
            one.shares.set_remote_use(entry_id("fleet"), *content.teams, now_);
    }

    void run_batch() {
        const double mean = set_.batch_per_s * static_cast<double>(step.count()) / 1000;
        batch_waiting_ += std::poisson_distribution<std::size_t>(mean)(random_);
        if (batch_waiting_ == 0)
            return;
        const std::size_t g = random_() % gateways_.size();
        const std::optional<placement> found =
            gateways_[g]->slots.place_batch(model_, {}, now_, uniform());
        if (!found || at_.at(found->endpoint).first + at_.at(found->endpoint).second >= slots_each)
            return;
        --batch_waiting_;
        ++at_.at(found->endpoint).second;
        gateways_[g]->slots.acquire(found->endpoint, work_kind::batch);
        runs_.emplace(now_ + milliseconds(4500),
                      running{g, found->endpoint, team_id(), now_, work_kind::batch});
    }

    void stop_batch(const endpoint_id& endpoint) {
        auto found = std::find_if(runs_.begin(), runs_.end(), [&endpoint](const auto& one) {
            return one.second.kind == work_kind::batch && one.second.endpoint == endpoint;
        });
        const running stopped = found->second;
        runs_.erase(found);
        release(stopped);
        ++batch_waiting_;
        ++result_.yields;
    }

    scenario set_;
    std::mt19937_64 random_;
    const instant start_ = instant(std::chrono::seconds(1000));
    instant now_ = start_;
    service_id model_ = service_id("model");
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::map<endpoint_id, std::pair<std::uint32_t, std::uint32_t>> at_; ///< online, batch
    std::multimap<instant, running> runs_;
    std::multimap<instant, arrival> later_;
    std::vector<message> messages_;
    std::size_t batch_waiting_ = 0;
    std::size_t relay_ = 0;
    std::uint64_t last_id_ = 0;
    bool returned_ = false;
    outcome result_;
};

inline outcome simulate(const scenario& chosen) {
    return scarce_fleet(chosen).run();
}

} // namespace cassia::scarce_test
