// Running batch items: placement in free slots, preemption by online calls, resumption and retries.

#include "cassia/entry/batch_task.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
// An entry that has not heard from a group's leader for this long may have missed a cancellation,
// so it starts no items of that group. The leader delays its response to a cancellation by longer
// than this, unless all items of the job have ended before.
constexpr milliseconds leader_timeout(3000);
// The pause doubles with each consecutive failure. An endpoint restarts within seconds of a crash.
constexpr milliseconds initial_pause(1000);
constexpr milliseconds max_pause(8000);
constexpr int min_server_error_status = 500;
constexpr int quarantined_status = 422;
constexpr int bad_gateway_status = 502;
constexpr std::string_view services_prefix = "/v1/services/";
} // namespace

bool batch_task::has_leader_contact(const batch_item& item, instant now) const {
    const job_id job(item.lease.job());
    const group_id group = state::group_of_job(job, settings_.cluster().work_groups());
    auto last_heard = view_->leader_last_heard.find(group);
    return last_heard != view_->leader_last_heard.end() &&
           now - last_heard->second < leader_timeout;
}

static policy::service_demand demand_of(const schema::item_body& body, const service_id& service) {
    policy::service_demand demand{service, "", ""};
    const json_parse_result parsed = parse_json(body.body());
    if (!parsed.value || !parsed.value->is_object())
        return demand;
    const boost::json::object& object = parsed.value->as_object();
    const auto string_member = [&object](const char* name) {
        const boost::json::value* member = object.if_contains(name);
        return member != nullptr && member->is_string() ? std::string(member->as_string())
                                                        : std::string();
    };
    demand.version = string_member("version");
    demand.adapter = string_member("adapter");
    return demand;
}

// Tokens of an item that were not delivered are discarded if no endpoint has their version.
void batch_task::discard_unservable(batch_item& item, policy::service_demand& demand) const {
    if (item.token_events.empty())
        return;
    demand.software = item.written_by;
    const bool serves = std::any_of(
        view_->endpoints.begin(), view_->endpoints.end(),
        [&demand](const policy::endpoint_info& facts) { return policy::serves(facts, demand); });
    if (serves)
        return;
    item.token_events.clear();
    demand.software.reset();
}

void batch_task::place_items() {
    const instant now = monotonic_now();
    for (const policy::endpoint_info& facts : view_->endpoints) {
        auto found = endpoints_.find(facts.id);
        if (found == endpoints_.end() || now < found->second.paused_until)
            continue;
        endpoint_state& state = found->second;
        for (std::pair<const service_id, std::deque<item_id>>& queue : queues_) {
            std::size_t skipped = 0;
            while (state.running.size() < state.capacity.slots && skipped < queue.second.size()) {
                const item_id id = queue.second[skipped];
                auto found_item = items_.find(id);
                if (found_item == items_.end()) {
                    queue.second.erase(queue.second.begin() + static_cast<std::ptrdiff_t>(skipped));
                    continue;
                }
                batch_item& candidate = found_item->second;
                candidate.suspect = crash_tracker_.is_suspect(candidate.fingerprint);
                const bool other_suspect_running =
                    state.capacity.suspect_running ||
                    std::any_of(state.running.begin(), state.running.end(),
                                [this](const item_id& other) { return items_.at(other).suspect; });
                policy::service_demand demand = demand_of(candidate.lease.item(), queue.first);
                discard_unservable(candidate, demand);
                const bool fits = policy::serves(facts, demand) &&
                                  candidate.failed_endpoints.count(facts.id) == 0 &&
                                  !(candidate.suspect && other_suspect_running) &&
                                  has_leader_contact(candidate, now);
                if (!fits) {
                    ++skipped;
                    continue;
                }
                queue.second.erase(queue.second.begin() + static_cast<std::ptrdiff_t>(skipped));
                start_item(id, facts);
            }
        }
    }
}

// Requests a stream even though the result is stored as a whole: an item that is stopped for an
// online call keeps the tokens received so far, and its next run resumes after them.
std::string batch_task::upstream_request_body(const batch_item& item) const {
    if (!item.for_engine)
        return item.lease.item().body();
    const json_parse_result parsed = parse_json(item.lease.item().body());
    boost::json::object body = parsed.value->as_object();
    body["stream"] = true;
    if (!item.token_events.empty())
        body["resume_from"] = item.token_events.size();
    return boost::json::serialize(body);
}

void batch_task::start_item(const item_id& id, const policy::endpoint_info& facts) {
    batch_item& item = items_.at(id);
    const schema::item_body& body = item.lease.item();
    item.running = true;
    item.endpoint = facts.id;
    item.endpoint_software = facts.software;
    item.response_head = net::http_head();
    item.response_body.clear();
    item.splitter = event_splitter();
    item.done_received = false;
    item.has_output = false;
    ++item.runs;
    item.request_id = id.first.str() + "/" + std::to_string(id.second) + "/" +
                      std::to_string(item.lease.attempt());
    net::http_call request;
    request.method = "POST";
    request.to = facts.address;
    if (item.for_engine) {
        request.path = body.url();
    } else {
        const std::string service_and_path = body.url().substr(services_prefix.size());
        const std::size_t slash = service_and_path.find('/');
        request.path =
            escape_path(slash == std::string::npos ? "/" : service_and_path.substr(slash));
    }
    request.headers["Cassia-Request-Id"] = item.request_id;
    request.headers["Cassia-Attempt"] = std::to_string(item.runs);
    request.body = upstream_request_body(item);
    request.fresh_connection = !body.repeatable() || !item.failed_endpoints.empty();
    request.progress_timeout = milliseconds(settings_.progress_timeout_ms());
    net::http_call_hooks hooks;
    hooks.on_head = [this, id](const net::http_head& head) { items_.at(id).response_head = head; };
    hooks.on_piece = [this, id](std::string_view chunk) { on_chunk(id, chunk); };
    hooks.on_end = [this, id] { on_end(id); };
    hooks.on_failure = [this, id](const net::http_failure& failure) { on_failure(id, failure); };
    item.upstream_call = client_.start(request, std::move(hooks));
    endpoints_.at(facts.id).running.push_back(id);
    uses_changed_ = true;
    metrics_.count("items_started");
}

void batch_task::on_chunk(const item_id& id, std::string_view chunk) {
    batch_item& item = items_.at(id);
    if (!item.for_engine || item.response_head.status != 200) {
        item.response_body.append(chunk);
        return;
    }
    item.splitter.add(chunk);
    while (std::optional<std::string> event = item.splitter.next()) {
        if (is_done_event(*event)) {
            item.done_received = true;
        } else {
            if (item.token_events.empty())
                item.written_by = item.endpoint_software;
            item.token_events.emplace_back(event_data(*event));
        }
        // A request that crashes an engine usually does so before its first token.
        item.suspect = false;
        item.has_output = true;
        endpoints_.at(item.endpoint).failures = 0;
    }
}

void batch_task::stop_run(batch_item& item) {
    if (!item.running)
        return;
    client_.cancel(item.upstream_call);
    item.running = false;
    const item_id id{job_id(item.lease.job()), item.lease.ordinal()};
    auto found = endpoints_.find(item.endpoint);
    if (found != endpoints_.end()) {
        std::vector<item_id>& running = found->second.running;
        running.erase(std::remove(running.begin(), running.end(), id), running.end());
    }
    uses_changed_ = true;
}

// Stops the most recently started items first, since they lose the least work. Items that must not
// run twice are allowed to finish.
void batch_task::stop_newest(endpoint_state& state, std::uint32_t max_running, const char* reason) {
    const std::vector<item_id> running = state.running;
    for (auto id = running.rbegin(); id != running.rend() && state.running.size() > max_running;
         ++id) {
        batch_item& item = items_.at(*id);
        if (!item.lease.item().repeatable())
            continue;
        stop_run(item);
        enqueue(*id, true);
        metrics_.count(std::string("items_stopped_") + reason);
    }
}

void batch_task::on_end(const item_id& id) {
    batch_item& item = items_.at(id);
    const bool complete_response =
        !item.for_engine || item.response_head.status != 200 || item.done_received;
    if (!complete_response) {
        on_failure(id,
                   {{net::errc::connection_lost, "the stream ended before its last event"}, true});
        return;
    }
    const bool retry = item.response_head.status >= min_server_error_status &&
                       item.lease.item().repeatable() &&
                       item.runs < static_cast<int>(settings_.max_item_attempts());
    stop_run(item);
    if (retry) {
        item.failed_endpoints.insert(item.endpoint);
        enqueue(id, false);
        return;
    }
    complete(id);
    place_items();
    request_leases();
}

std::string batch_task::result_body(const batch_item& item) const {
    if (!item.for_engine || item.response_head.status != 200)
        return item.response_body;
    return assemble_completion(item.token_events,
                               item.lease.item().url() == "/v1/chat/completions");
}

void batch_task::complete(const item_id& id) {
    const batch_item& item = items_.at(id);
    schema::item_end end;
    const bool success = item.response_head.status >= 200 && item.response_head.status < 300;
    end.set_status(success ? schema::completed : schema::failed);
    end.set_http_status(static_cast<std::uint32_t>(item.response_head.status));
    end.set_content_type("application/json");
    end.set_body(result_body(item));
    end.set_endpoint(item.endpoint.str());
    end_item(id, std::move(end));
}

void batch_task::on_failure(const item_id& id, const net::http_failure& failure) {
    if (failure.cause.code != net::errc::connection_lost || !failure.sent) {
        handle_failure(id, failure, false);
        return;
    }
    const policy::endpoint_info* facts = find_endpoint(*view_, items_.at(id).endpoint);
    if (facts == nullptr) {
        // The endpoint has left the view, so its address is unknown. Count it as crashed.
        handle_failure(id, failure, true);
        return;
    }
    crash_tracker_.probe(facts->address, [this, id, failure](bool crashed) {
        auto found = items_.find(id);
        if (found != items_.end() && found->second.running)
            handle_failure(id, failure, crashed);
    });
}

void batch_task::pause_after_failure(endpoint_state& state) {
    const instant now = monotonic_now();
    // When an endpoint fails, all items that run there fail together. Count that as one failure.
    if (now < state.paused_until)
        return;
    const milliseconds pause =
        std::min(max_pause, initial_pause * (1U << std::min(state.failures, 3U)));
    ++state.failures;
    state.paused_until = now + pause;
}

void batch_task::record_crash(const endpoint_id& endpoint) {
    std::vector<policy::running_request> running;
    for (const std::pair<const item_id, batch_item>& known_item : items_) {
        if (known_item.second.running && known_item.second.endpoint == endpoint)
            running.push_back({known_item.second.fingerprint, known_item.second.has_output});
    }
    crash_tracker_.record_crash(endpoint, running);
}

void batch_task::handle_failure(const item_id& id, const net::http_failure& failure, bool crashed) {
    batch_item& item = items_.at(id);
    if (crashed)
        record_crash(item.endpoint);
    // A run whose request was never sent does not count.
    if (!failure.sent)
        --item.runs;
    // A crashed endpoint refuses connections immediately; behind a proxy, they are accepted and
    // then closed. Without a pause, an item that only this endpoint can serve would use up its runs
    // within milliseconds and end as failed. With the pause it is returned to its group first.
    pause_after_failure(endpoints_.at(item.endpoint));
    item.failed_endpoints.insert(item.endpoint);
    stop_run(item);
    metrics_.count("items_failed_runs");
    schema::item_end end;
    end.set_content_type("application/json");
    end.set_endpoint(item.endpoint.str());
    if (crash_tracker_.is_quarantined(item.fingerprint)) {
        end.set_status(schema::failed);
        end.set_http_status(quarantined_status);
        end.set_body(R"({"error":{"code":"quarantined","message":"this item crashed endpoints"}})");
        end_item(id, std::move(end));
        return;
    }
    if (!item.lease.item().repeatable() && failure.sent) {
        end.set_status(schema::unknown);
        end.set_http_status(bad_gateway_status);
        end.set_body(R"({"error":{"code":"outcome_unknown","run":"maybe"}})");
        end_item(id, std::move(end));
        return;
    }
    if (item.runs >= static_cast<int>(settings_.max_item_attempts())) {
        end.set_status(schema::failed);
        end.set_http_status(bad_gateway_status);
        end.set_body(R"({"error":{"code":"endpoint_failed","message":"endpoints failed"}})");
        end_item(id, std::move(end));
        return;
    }
    // If all endpoints of this entry have failed the item, allow them again.
    const bool has_untried_endpoint =
        std::any_of(endpoints_.begin(), endpoints_.end(),
                    [&item](const std::pair<const endpoint_id, endpoint_state>& endpoint) {
                        return item.failed_endpoints.count(endpoint.first) == 0;
                    });
    if (!has_untried_endpoint)
        item.failed_endpoints.clear();
    enqueue(id, false);
    place_items();
}

} // namespace cassia::entry
