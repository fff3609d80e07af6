#include "cassia/entry/batch_task.h"

#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr unsigned connections_to_an_endpoint = 2048;
constexpr milliseconds tick_interval(50);
constexpr milliseconds held_interval(2000);
// Slots given back to a burst stay free for a while: it comes as many calls, not one.
constexpr milliseconds yield_pause(300);
} // namespace

batch_task::batch_task(const schema::entry_settings& settings, control_task& control,
                       batch_hooks hooks)
    : settings_(settings), control_(control), hooks_(std::move(hooks)), task_("batch"),
      client_(task_, connections_to_an_endpoint, net::ip_of(settings.http_address())),
      crash_tracker_(task_, client_, control, {}), view_(std::make_shared<fleet_view>()) {
    task_.every(tick_interval, [this] { tick(); });
    task_.every(held_interval, [this] { tell_held(); });
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

void batch_task::set_view(fleet_view_ptr view) {
    task_.post([this, view = std::move(view)] {
        view_ = view;
        crash_tracker_.merge_strikes(view_->strikes);
    });
}

void batch_task::set_offers(batch_offers offers) {
    task_.post([this, offers = std::move(offers)] {
        for (std::pair<const endpoint_id, seat>& at : seats_) {
            if (offers.count(at.first) == 0)
                at.second.offer = batch_offer();
        }
        for (const std::pair<const endpoint_id, batch_offer>& offer : offers)
            seats_[offer.first].offer = offer.second;
        for (std::pair<const endpoint_id, seat>& at : seats_) {
            if (at.second.running.size() > at.second.offer.slots)
                shrink(at.second, at.second.offer.slots, "for_reserve");
        }
        place_items();
        request_leases();
    });
}

void batch_task::yield(const endpoint_id& endpoint, std::uint32_t slots) {
    task_.post([this, endpoint, slots] {
        auto found = seats_.find(endpoint);
        if (found == seats_.end())
            return;
        seat& at = found->second;
        const std::uint32_t running = static_cast<std::uint32_t>(at.running.size());
        shrink(at, running > slots ? running - slots : 0, "for_online");
        at.paused_until = monotonic_now() + yield_pause;
        explain(decision_kind::yielded, endpoint.str(), "",
                "online calls want " + std::to_string(slots) + " slots; " +
                    std::to_string(running - at.running.size()) + " items stopped");
        report_uses();
    });
}

void batch_task::cancel_jobs(const std::vector<job_id>& jobs) {
    task_.post([this, jobs] {
        std::vector<item_id> cancelled;
        for (const std::pair<const item_id, item>& one : items_) {
            if (std::find(jobs.begin(), jobs.end(), one.first.first) != jobs.end())
                cancelled.push_back(one.first);
        }
        for (const item_id& id : cancelled) {
            stop_run(items_.at(id));
            schema::item_end end;
            end.set_status(schema::cancelled);
            end_item(id, std::move(end));
        }
        flush_ends();
    });
}

void batch_task::drain() {
    task_.post([this] {
        draining_ = true;
        std::vector<item_id> held;
        for (std::pair<const item_id, item>& one : items_) {
            // What must not run twice is left to end; the rest runs elsewhere.
            if (one.second.running && !one.second.lease.item().repeatable())
                continue;
            stop_run(one.second);
            held.push_back(one.first);
        }
        for (const item_id& id : held)
            give_back(id);
        flush_ends();
    });
}

void batch_task::report_uses() {
    uses_changed_ = false;
    std::vector<endpoint_use> uses;
    for (const std::pair<const endpoint_id, seat>& at : seats_) {
        if (at.second.running.empty())
            continue;
        endpoint_use use;
        use.endpoint = at.first;
        use.batch = static_cast<std::uint32_t>(at.second.running.size());
        for (const item_id& id : at.second.running)
            use.suspects += items_.at(id).suspect ? 1 : 0;
        uses.push_back(std::move(use));
    }
    control_.report_batch(uses);
    hooks_.on_uses(std::move(uses));
}

void batch_task::explain(decision_kind kind, const std::string& subject, const std::string& object,
                         const std::string& reason) {
    hooks_.on_decision({wall_now(), kind, subject, object, reason});
}

void batch_task::tick() {
    if (uses_changed_)
        report_uses();
    flush_ends();
    place_items();
    give_back_stranded();
    request_leases();
}

void batch_task::dump(net::task& home, std::function<void(std::string)> done) {
    task_.post([this, &home, done = std::move(done)] {
        boost::json::object out;
        out["held"] = items_.size();
        out["draining"] = draining_;
        std::size_t ends = 0;
        for (const auto& group : ends_)
            ends += group.second.size();
        out["ends_waiting"] = ends;
        for (const char* name :
             {"items_leased", "items_started", "items_ended", "items_stopped_for_online",
              "items_stopped_for_reserve", "items_failed_runs"})
            out[name] = metrics_.counter(name);
        boost::json::array seats;
        for (const std::pair<const endpoint_id, seat>& at : seats_)
            seats.push_back({{"endpoint", at.first.str()},
                             {"slots", at.second.offer.slots},
                             {"running", at.second.running.size()}});
        out["seats"] = std::move(seats);
        home.post([done, text = boost::json::serialize(out)] { done(text); });
    });
}

} // namespace cassia::entry
