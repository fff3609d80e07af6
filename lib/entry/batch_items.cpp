// How batch items run: placed in free slots, stopped for online calls, resumed later.

#include "cassia/entry/batch_task.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
// An entry that hears nothing from a group's leader may have missed a cancellation; it starts no
// item of that group. The leader's answer to the canceller waits longer than this.
constexpr milliseconds leader_silence(3000);
// Doubled with each failure in a row: an endpoint is back some seconds after a crash.
constexpr milliseconds first_pause(1000);
constexpr milliseconds longest_pause(8000);
constexpr int first_server_error = 500;
constexpr int quarantined_status = 422;
constexpr int bad_gateway_status = 502;
constexpr std::string_view services_path = "/v1/services/";
} // namespace

bool batch_task::may_start(const item& one, instant now) const {
    const job_id job(one.lease.job());
    const group_id group = state::group_of_job(job, settings_.cluster().work_groups());
    auto contact = view_->leader_last_heard.find(group);
    return contact != view_->leader_last_heard.end() && now - contact->second < leader_silence;
}

static policy::service_demand demand_of(const schema::item_body& body, const service_id& service) {
    policy::service_demand demand{service, "", ""};
    const json_parse_result parsed = parse_json(body.body());
    if (!parsed.value || !parsed.value->is_object())
        return demand;
    const boost::json::object& object = parsed.value->as_object();
    const auto text = [&object](const char* name) {
        const boost::json::value* member = object.if_contains(name);
        return member != nullptr && member->is_string() ? std::string(member->as_string())
                                                        : std::string();
    };
    demand.version = text("version");
    demand.adapter = text("adapter");
    return demand;
}

void batch_task::place_items() {
    const instant now = monotonic_now();
    for (const policy::endpoint_facts& facts : view_->endpoints) {
        auto found = seats_.find(facts.id);
        if (found == seats_.end() || now < found->second.paused_until)
            continue;
        seat& at = found->second;
        for (std::pair<const service_id, std::deque<item_id>>& queue : ready_) {
            std::size_t passed_by = 0;
            while (at.running.size() < at.offer.slots && passed_by < queue.second.size()) {
                const item_id id = queue.second[passed_by];
                auto one = items_.find(id);
                if (one == items_.end()) {
                    queue.second.erase(queue.second.begin() +
                                       static_cast<std::ptrdiff_t>(passed_by));
                    continue;
                }
                item& candidate = one->second;
                candidate.suspect = crash_tracker_.is_suspect(candidate.print);
                const bool other_suspect =
                    at.offer.suspect_running ||
                    std::any_of(at.running.begin(), at.running.end(),
                                [this](const item_id& other) { return items_.at(other).suspect; });
                const bool fits =
                    policy::serves(facts, demand_of(candidate.lease.item(), queue.first)) &&
                    candidate.failed_at.count(facts.id) == 0 &&
                    !(candidate.suspect && other_suspect) && may_start(candidate, now);
                if (!fits) {
                    ++passed_by;
                    continue;
                }
                queue.second.erase(queue.second.begin() + static_cast<std::ptrdiff_t>(passed_by));
                start_item(id, facts);
            }
        }
    }
}

// Streams are asked for even though the result is stored whole: a stream that is stopped for an
// online call leaves its tokens here and goes on behind them.
std::string batch_task::upstream_body(const item& one) const {
    if (!one.engine)
        return one.lease.item().body();
    const json_parse_result parsed = parse_json(one.lease.item().body());
    boost::json::object body = parsed.value->as_object();
    body["stream"] = true;
    if (!one.tokens.empty())
        body["resume_from"] = one.tokens.size();
    return boost::json::serialize(body);
}

void batch_task::start_item(const item_id& id, const policy::endpoint_facts& facts) {
    item& one = items_.at(id);
    const schema::item_body& body = one.lease.item();
    one.running = true;
    one.endpoint = facts.id;
    one.head = net::http_head();
    one.answer.clear();
    one.events = event_splitter();
    one.done_seen = false;
    one.has_output = false;
    ++one.runs;
    one.request_id = id.first.str() + "/" + std::to_string(id.second) + "/" +
                     std::to_string(one.lease.attempt());
    net::http_call out;
    out.method = "POST";
    out.to = facts.address;
    if (one.engine) {
        out.path = body.url();
    } else {
        const std::string rest = body.url().substr(services_path.size());
        const std::size_t slash = rest.find('/');
        out.path = escape_path(slash == std::string::npos ? "/" : rest.substr(slash));
    }
    out.headers["Cassia-Request-Id"] = one.request_id;
    out.headers["Cassia-Attempt"] = std::to_string(one.runs);
    out.body = upstream_body(one);
    out.fresh_connection = !body.repeatable() || !one.failed_at.empty();
    out.progress_timeout = milliseconds(settings_.progress_timeout_ms());
    net::http_call_hooks hooks;
    hooks.on_head = [this, id](const net::http_head& head) { items_.at(id).head = head; };
    hooks.on_piece = [this, id](std::string_view piece) { on_piece(id, piece); };
    hooks.on_end = [this, id] { on_end(id); };
    hooks.on_failure = [this, id](const net::http_failure& failed) { on_failure(id, failed); };
    one.upstream = client_.start(out, std::move(hooks));
    seats_.at(facts.id).running.push_back(id);
    uses_changed_ = true;
    metrics_.count("items_started");
}

void batch_task::on_piece(const item_id& id, std::string_view piece) {
    item& one = items_.at(id);
    if (!one.engine || one.head.status != 200) {
        one.answer.append(piece);
        return;
    }
    one.events.add(piece);
    while (std::optional<std::string> event = one.events.next()) {
        if (is_done(*event))
            one.done_seen = true;
        else
            one.tokens.emplace_back(event_data(*event));
        // What crashes an engine mostly does so before its first token.
        one.suspect = false;
        one.has_output = true;
        seats_.at(one.endpoint).failures = 0;
    }
}

void batch_task::stop_run(item& one) {
    if (!one.running)
        return;
    client_.cancel(one.upstream);
    one.running = false;
    const item_id id{job_id(one.lease.job()), one.lease.ordinal()};
    auto at = seats_.find(one.endpoint);
    if (at != seats_.end()) {
        std::vector<item_id>& running = at->second.running;
        running.erase(std::remove(running.begin(), running.end(), id), running.end());
    }
    uses_changed_ = true;
}

// The newest go first: they have the least to lose. Items that must not run twice are left to end.
void batch_task::shrink(seat& at, std::uint32_t to, const char* reason) {
    const std::vector<item_id> running = at.running;
    for (auto id = running.rbegin(); id != running.rend() && at.running.size() > to; ++id) {
        item& one = items_.at(*id);
        if (!one.lease.item().repeatable())
            continue;
        stop_run(one);
        make_ready(*id, true);
        metrics_.count(std::string("items_stopped_") + reason);
    }
}

void batch_task::on_end(const item_id& id) {
    item& one = items_.at(id);
    const bool whole = !one.engine || one.head.status != 200 || one.done_seen;
    if (!whole) {
        on_failure(id,
                   {{net::errc::connection_lost, "the stream ended before its last event"}, true});
        return;
    }
    const bool again = one.head.status >= first_server_error && one.lease.item().repeatable() &&
                       one.runs < static_cast<int>(settings_.max_item_attempts());
    stop_run(one);
    if (again) {
        one.failed_at.insert(one.endpoint);
        make_ready(id, false);
        return;
    }
    complete(id);
    place_items();
    request_leases();
}

std::string batch_task::assembled_body(const item& one) const {
    if (!one.engine || one.head.status != 200)
        return one.answer;
    return assemble_answer(one.tokens, one.lease.item().url() == "/v1/chat/completions");
}

void batch_task::complete(const item_id& id) {
    const item& one = items_.at(id);
    schema::item_end end;
    const bool good = one.head.status >= 200 && one.head.status < 300;
    end.set_status(good ? schema::completed : schema::failed);
    end.set_http_status(static_cast<std::uint32_t>(one.head.status));
    end.set_content_type("application/json");
    end.set_body(assembled_body(one));
    end.set_endpoint(one.endpoint.str());
    end_item(id, std::move(end));
}

void batch_task::on_failure(const item_id& id, const net::http_failure& failed) {
    if (failed.cause.code != net::errc::connection_lost || !failed.sent) {
        decide_after_failure(id, failed, false);
        return;
    }
    const policy::endpoint_facts* facts = find_endpoint(*view_, items_.at(id).endpoint);
    if (facts == nullptr) {
        decide_after_failure(id, failed, true);
        return;
    }
    crash_tracker_.probe(facts->address, [this, id, failed](bool dead) {
        auto one = items_.find(id);
        if (one != items_.end() && one->second.running)
            decide_after_failure(id, failed, dead);
    });
}

void batch_task::pause_seat(seat& at) {
    const instant now = monotonic_now();
    // All that ran there fail together; they are one failure.
    if (now < at.paused_until)
        return;
    const milliseconds pause =
        std::min(longest_pause, first_pause * (1U << std::min(at.failures, 3U)));
    ++at.failures;
    at.paused_until = now + pause;
}

void batch_task::blame_death(const endpoint_id& endpoint) {
    std::vector<policy::running_request> running;
    for (const std::pair<const item_id, item>& one : items_) {
        if (one.second.running && one.second.endpoint == endpoint)
            running.push_back({one.second.print, one.second.has_output});
    }
    crash_tracker_.record_crash(endpoint, running);
}

void batch_task::decide_after_failure(const item_id& id, const net::http_failure& failed,
                                      bool died) {
    item& one = items_.at(id);
    if (died)
        blame_death(one.endpoint);
    // A dead endpoint refuses connections at once, and one behind a proxy takes and breaks them.
    // Tried again at once, an item whose only endpoint here it is used up its runs within some
    // milliseconds and ended as failed; behind the pause it goes back to its group in time.
    if (!failed.sent)
        --one.runs;
    pause_seat(seats_.at(one.endpoint));
    one.failed_at.insert(one.endpoint);
    stop_run(one);
    metrics_.count("items_failed_runs");
    schema::item_end end;
    end.set_content_type("application/json");
    end.set_endpoint(one.endpoint.str());
    if (crash_tracker_.is_quarantined(one.print)) {
        end.set_status(schema::failed);
        end.set_http_status(quarantined_status);
        end.set_body(R"({"error":{"code":"quarantined","message":"this item crashed endpoints"}})");
        end_item(id, std::move(end));
        return;
    }
    if (!one.lease.item().repeatable() && failed.sent) {
        end.set_status(schema::unknown);
        end.set_http_status(bad_gateway_status);
        end.set_body(R"({"error":{"code":"outcome_unknown","run":"maybe"}})");
        end_item(id, std::move(end));
        return;
    }
    if (one.runs >= static_cast<int>(settings_.max_item_attempts())) {
        end.set_status(schema::failed);
        end.set_http_status(bad_gateway_status);
        end.set_body(R"({"error":{"code":"endpoint_failed","message":"endpoints failed"}})");
        end_item(id, std::move(end));
        return;
    }
    // With every endpoint of this entry tried, one of them is better than none.
    const bool untried = std::any_of(seats_.begin(), seats_.end(),
                                     [&one](const std::pair<const endpoint_id, seat>& at) {
                                         return one.failed_at.count(at.first) == 0;
                                     });
    if (!untried)
        one.failed_at.clear();
    make_ready(id, false);
    place_items();
}

} // namespace cassia::entry
