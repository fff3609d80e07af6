/// A work group's state with one listed job, and gateways that run its items.
#pragma once

#include "cassia/base/log.h"
#include "cassia/gateway/item_runner.h"
#include "cassia/net/task.h"
#include "cassia/state/work_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cassia::gateway {

/// Replies come at random, and some don't come.
class item_keeper {
public:
    item_keeper(net::task& owner, int items, std::uint32_t max_failures, std::uint64_t seed,
                const std::function<std::string(int ordinal)>& name_of)
        : owner_(owner), random_(seed) {
        schema::work_command command;
        schema::job_begin& begin = *command.mutable_submit()->mutable_begin();
        begin.set_job(job_name);
        begin.set_team("shop.example");
        begin.set_host("shop.example");
        begin.set_route("jobs");
        begin.set_route_prefix("/jobs/");
        begin.set_total(static_cast<std::uint32_t>(items));
        begin.set_at(to_unix_ms(wall_now()));
        begin.set_deadline(to_unix_ms(wall_now()) + 60000);
        begin.set_max_failures(max_failures);
        begin.set_listed(true);
        command.mutable_submit()->mutable_items()->set_job(job_name);
        for (int ordinal = 0; ordinal < items; ++ordinal) {
            schema::item_body& item = *command.mutable_submit()->mutable_items()->add_items();
            item.set_custom_id(name_of(ordinal));
            item.set_url("/jobs/x");
            item.set_service("jobs");
            item.set_repeatable(true);
            item.set_body("prompt of " + name_of(ordinal));
        }
        apply(command);
    }

    void lease(const std::string& holder, std::uint32_t limit,
               const item_runner_hooks::lease_done& done) {
        schema::work_command command;
        command.mutable_lease()->set_job(job_name);
        command.mutable_lease()->set_holder(holder);
        const state::batch_job& job = state_.jobs().at(job_id(job_name));
        for (const std::deque<std::uint32_t>& queue : job.pending) {
            for (std::size_t i = 0; i < queue.size() && i < limit; ++i)
                command.mutable_lease()->add_ordinals(queue[i]);
        }
        schema::work_reply reply =
            command.lease().ordinals_size() > 0 ? apply(command) : schema::work_reply();
        state_.fill_leased_items(reply, reader());
        owner_.after(milliseconds(number(20)), [done, reply] {
            done({reply.leased().begin(), reply.leased().end()});
        });
    }
    void report(const std::string& holder, const schema::items_end& ends,
                const item_runner_hooks::report_done& done) {
        constexpr int one_in = 10;
        const int fate = number(one_in - 1);
        schema::work_command command;
        *command.mutable_ends() = ends;
        command.mutable_ends()->set_holder(holder);
        command.mutable_ends()->set_at(to_unix_ms(wall_now()));
        // Of some only the reply is lost.
        const bool is_stored = fate != 0;
        owner_.after(milliseconds(number(30)), [this, command, done, is_stored, fate] {
            if (is_stored)
                apply(command);
            done(is_stored && fate != 1);
        });
    }
    void revoke(const std::string& holder) {
        for (const state::item_key& key : state_.leases_of(holder))
            ++leases_lost[key.second];
        schema::work_command command;
        command.mutable_lost()->set_holder(holder);
        command.mutable_lost()->set_at(to_unix_ms(wall_now()));
        apply(command);
    }
    bool is_leased(const std::string& holder, const schema::held_job& job, int index) const {
        const job_id id(job.job());
        const std::uint32_t ordinal = job.ordinals(index);
        return state_.leases_of(holder).count({id, ordinal}) > 0 &&
               state_.jobs().at(id).items[ordinal].attempts == job.attempts(index);
    }
    std::vector<schema::item_result> results() const {
        schema::work_query query;
        query.set_kind(schema::work_query::listed_results);
        query.set_job(job_name);
        query.set_team("shop.example");
        const schema::work_reply reply = state_.query(query, reader());
        return {reply.results().begin(), reply.results().end()};
    }

    std::map<std::uint32_t, int> leases_lost; ///< by item

private:
    inline static const std::string job_name = "job";

    int number(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
    schema::work_reply apply(const schema::work_command& command) {
        const storage::position position{1, log_.size() + 1};
        log_[position] = command.SerializeAsString();
        return state_.apply(command, position);
    }
    state::work_state::record_reader reader() const {
        return [this](const storage::position& position) -> storage::result<std::string> {
            return log_.at(position);
        };
    }

    net::task& owner_;
    std::mt19937_64 random_;
    state::work_state state_;
    std::map<storage::position, std::string> log_;
};

/// An item runner with what it needs of its gateway.
class item_gateway {
public:
    item_gateway(net::task& owner, item_keeper& keeper, const std::string& gateway)
        : name(gateway), owner_(owner), client_(owner, ""),
          crashes_(owner, "", entry_id(gateway), zone_id("z"), counts, crash_hooks()),
          trials_(entry_id(gateway), trial_hooks()),
          runner(client_, slots_, crashes_, trials_, counts, header_names(), 16,
                 item_hooks(keeper)) {
        crashes_.set_gateways({});
        schema::route_table source;
        source.set_version(1);
        schema::route& route = *source.add_routes();
        route.set_name("jobs");
        route.set_host("shop.example");
        route.set_path_prefix("/jobs/");
        route.set_kind(schema::route::batch);
        route.set_resumable(true);
        route.set_timeout_ms(5000);
        route.set_result_due_ms(18000);
        schema::route_target& target = *route.add_targets();
        target.set_service("web");
        target.set_weight(1);
        source.add_services()->set_name("web");
        runner.set_routes(routes::table::compile(source).value());
        constexpr milliseconds tick(20);
        ticks_ = owner.every(tick, [this] {
            crashes_.tick();
            trials_.tick();
            runner.tick(monotonic_now(), wall_now());
        });
    }
    item_gateway(const item_gateway&) = delete;
    item_gateway& operator=(const item_gateway&) = delete;
    ~item_gateway() { owner_.cancel(ticks_); }

    void set_endpoints(const std::vector<policy::slot_endpoint>& listed) {
        slots_.set_endpoints(listed);
        crashes_.set_endpoints(listed);
    }
    void drop_stale(const item_keeper& keeper) {
        schema::stale_items stale;
        const schema::held_items held = runner.held();
        for (const schema::held_job& job : held.jobs()) {
            schema::held_job& lost = *stale.add_jobs();
            lost.set_job(job.job());
            for (int i = 0; i < job.ordinals_size(); ++i) {
                if (keeper.is_leased(name, job, i))
                    continue;
                lost.add_ordinals(job.ordinals(i));
                lost.add_attempts(job.attempts(i));
            }
        }
        runner.drop_stale(stale);
    }

    std::string name;
    metrics counts;

private:
    crash_monitor_hooks crash_hooks() {
        crash_monitor_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.on_crash = [this](const policy::endpoint_process& process) {
            slots_.record_crash(process.endpoint, process.incarnation, monotonic_now());
        };
        hooks.on_quarantine = [] {};
        return hooks;
    }
    trial_exchange_hooks trial_hooks() {
        trial_exchange_hooks hooks;
        hooks.send = [](const entry_id&, schema::envelope&) { return false; };
        hooks.coordinators = [this] { return std::vector<entry_id>{entry_id(name)}; };
        hooks.choose_endpoint = [this](const policy::trial_request& request,
                                       const std::set<endpoint_id>& excluded) {
            const std::optional<policy::placement> found =
                slots_.place_alone(request.service, excluded, monotonic_now(), request.version);
            return policy::trial_schedule::choice{
                found ? std::optional<endpoint_id>(found->endpoint) : std::nullopt,
                policy::max_trials(slots_.count_endpoints(request.service))};
        };
        return hooks;
    }
    item_runner_hooks item_hooks(item_keeper& keeper) {
        item_runner_hooks hooks;
        hooks.lease = [this, &keeper](const std::string&, const group_id&, std::uint32_t limit,
                                      const item_runner_hooks::lease_done& done) {
            keeper.lease(name, limit, done);
        };
        hooks.lease_unrouted = [](const schema::unrouted_want&, const group_id&,
                                  const item_runner_hooks::lease_done& done) { done({}); };
        hooks.report = [this, &keeper](const schema::items_end& ends,
                                       const item_runner_hooks::report_done& done) {
            keeper.report(name, ends, done);
        };
        return hooks;
    }

    net::task& owner_;
    policy::slot_table slots_{zone_id("z")};
    net::raw_client client_;
    crash_monitor crashes_;
    trial_exchange trials_;
    timer_id ticks_;

public:
    item_runner runner;
};

} // namespace cassia::gateway
