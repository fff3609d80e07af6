#include "cassia/entry/batch_task.h"

#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr unsigned max_connections_per_endpoint = 2048;
constexpr milliseconds tick_interval(50);
constexpr milliseconds held_items_interval(2000);
// Keeps released slots free for a while, because online calls come in bursts of many calls.
constexpr milliseconds yield_pause(300);
} // namespace

batch_task::batch_task(const schema::entry_settings& settings, control_task& control,
                       batch_task_hooks hooks)
    : settings_(settings), control_(control), hooks_(std::move(hooks)), task_("batch"),
      client_(task_, max_connections_per_endpoint, net::ip_of(settings.http_address())),
      crash_tracker_(task_, client_, control, {}), view_(std::make_shared<cluster_view>()) {
    task_.every(tick_interval, [this] { tick(); });
    task_.every(held_items_interval, [this] { report_held_items(); });
}

batch_task::~batch_task() {
    task_.stop();
}

void batch_task::start() {
    task_.start();
}
void batch_task::stop() {
    task_.stop();
}

void batch_task::set_view(cluster_view_ptr view) {
    task_.post([this, view = std::move(view)] {
        view_ = view;
        crash_tracker_.merge_strikes(view_->strikes);
    });
}

void batch_task::set_capacities(batch_capacities capacities) {
    task_.post([this, capacities = std::move(capacities)] {
        for (std::pair<const endpoint_id, endpoint_state>& endpoint : endpoints_) {
            if (capacities.count(endpoint.first) == 0)
                endpoint.second.capacity = batch_capacity();
        }
        for (const std::pair<const endpoint_id, batch_capacity>& capacity : capacities)
            endpoints_[capacity.first].capacity = capacity.second;
        for (std::pair<const endpoint_id, endpoint_state>& endpoint : endpoints_) {
            if (endpoint.second.running.size() > endpoint.second.capacity.slots)
                stop_newest(endpoint.second, endpoint.second.capacity.slots, "for_reserve");
        }
        place_items();
        request_leases();
    });
}

void batch_task::yield(const endpoint_id& endpoint, std::uint32_t slots) {
    task_.post([this, endpoint, slots] {
        auto found = endpoints_.find(endpoint);
        if (found == endpoints_.end())
            return;
        endpoint_state& state = found->second;
        const std::uint32_t running = static_cast<std::uint32_t>(state.running.size());
        stop_newest(state, running > slots ? running - slots : 0, "for_online");
        state.paused_until = monotonic_now() + yield_pause;
        record_decision(decision_kind::yielded, endpoint.str(), "",
                        "online calls want " + std::to_string(slots) + " slots; " +
                            std::to_string(running - state.running.size()) + " items stopped");
        report_uses();
    });
}

void batch_task::cancel_jobs(const std::vector<job_id>& jobs) {
    task_.post([this, jobs] {
        std::vector<item_id> cancelled;
        for (const std::pair<const item_id, batch_item>& known_item : items_) {
            if (std::find(jobs.begin(), jobs.end(), known_item.first.first) != jobs.end())
                cancelled.push_back(known_item.first);
        }
        for (const item_id& id : cancelled) {
            stop_run(items_.at(id));
            schema::item_end end;
            end.set_status(schema::cancelled);
            end_item(id, std::move(end));
        }
        send_item_ends();
    });
}

void batch_task::drain() {
    task_.post([this] {
        draining_ = true;
        std::vector<item_id> returned;
        for (std::pair<const item_id, batch_item>& known_item : items_) {
            // Items that must not run twice are allowed to finish; the others can run elsewhere.
            if (known_item.second.running && !known_item.second.lease.item().repeatable())
                continue;
            stop_run(known_item.second);
            returned.push_back(known_item.first);
        }
        for (const item_id& id : returned)
            return_item(id);
        send_item_ends();
    });
}

void batch_task::report_uses() {
    uses_changed_ = false;
    std::vector<endpoint_use> uses;
    for (const std::pair<const endpoint_id, endpoint_state>& endpoint : endpoints_) {
        if (endpoint.second.running.empty())
            continue;
        endpoint_use use;
        use.endpoint = endpoint.first;
        use.batch = static_cast<std::uint32_t>(endpoint.second.running.size());
        for (const item_id& id : endpoint.second.running)
            use.suspects += items_.at(id).suspect ? 1 : 0;
        uses.push_back(std::move(use));
    }
    control_.report_batch(uses);
    hooks_.on_uses(std::move(uses));
}

void batch_task::record_decision(decision_kind kind, const std::string& subject,
                                 const std::string& object, const std::string& reason) {
    hooks_.on_decision({wall_now(), kind, subject, object, reason});
}

void batch_task::tick() {
    if (uses_changed_)
        report_uses();
    send_item_ends();
    place_items();
    return_stranded_items();
    request_leases();
}

void batch_task::dump(net::task& reply_task, std::function<void(std::string)> on_dump) {
    task_.post([this, &reply_task, on_dump = std::move(on_dump)] {
        boost::json::object dump;
        dump["held"] = items_.size();
        dump["draining"] = draining_;
        std::size_t ends = 0;
        for (const auto& group : unconfirmed_ends_)
            ends += group.second.size();
        dump["ends_waiting"] = ends;
        for (const char* name :
             {"items_leased", "items_started", "items_ended", "items_stopped_for_online",
              "items_stopped_for_reserve", "items_failed_runs"})
            dump[name] = metrics_.counter(name);
        boost::json::array seats;
        for (const std::pair<const endpoint_id, endpoint_state>& endpoint : endpoints_)
            seats.push_back({{"endpoint", endpoint.first.str()},
                             {"slots", endpoint.second.capacity.slots},
                             {"running", endpoint.second.running.size()}});
        dump["seats"] = std::move(seats);
        reply_task.post([on_dump, json = boost::json::serialize(dump)] { on_dump(json); });
    });
}

} // namespace cassia::entry
