// Migration of stalled runs that must not be repeated to another endpoint.

#include "cassia/base/log.h"
#include "cassia/gateway/dispatcher.h"

#include <utility>

namespace cassia::gateway {

namespace {
constexpr int status_ok = 200;
} // namespace

bool dispatcher::may_migrate(const online_call& call) const {
    // A body that ends with its connection would look complete when the endpoint closes the
    // connection because of the migration.
    const bool end_is_marked = call.head.framing != net::body_framing::until_close;
    if (!migration_protocol_.build_request || !call.is_stream() || call.migration.attempted ||
        !end_is_marked)
        return false;
    const schema::routed_service* service = call.table->service(call.service.str());
    return service != nullptr && service->moves_runs();
}

// A lost packet delays all events after it by 200 ms or more. A run that must not be repeated can't
// be restarted elsewhere, but its endpoint can be told over another connection to migrate it.
void dispatcher::start_migration(online_call& call, instant now) {
    const std::optional<policy::placement> placement = place_elsewhere(call, now);
    if (!placement)
        return;
    slots_.record_stall(call.endpoint, now);
    slots_.acquire(placement->endpoint, policy::work_kind::online, call.tokens);
    call.migration = migration_state{};
    call.migration.attempted = true;
    call.migration.target = *placement;
    const exchange_id id = call.id;
    net::raw_call_hooks hooks;
    hooks.on_head = [this, id](const net::raw_head& head) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            found->second->migration.status = head.status;
    };
    hooks.on_piece = [this, id](std::string_view bytes) {
        auto found = calls_.find(id);
        if (found != calls_.end())
            found->second->migration.body.append(bytes);
    };
    hooks.on_end = [this, id] { on_migration_response(id); };
    hooks.on_failure = [this, id](const net::raw_failure&) { on_migration_response(id); };
    net::raw_call outgoing;
    outgoing.to = call.address;
    outgoing.request = migration_protocol_.build_request(call.request_id, placement->address);
    // On a kept one the late response to another migration would name another run's copy.
    outgoing.fresh_connection = true;
    call.migration.pending_call = client_.start(std::move(outgoing), std::move(hooks));
    metrics_.count("run_moves_asked");
}

// Also called if the migration request fails, with what was received until then. With a handle the
// run was stopped. It resumes at the target, or, if the target had no room for the copy, at the
// endpoint that ran it so far and still has its KV cache. Without a handle the run continues where
// it is.
void dispatcher::on_migration_response(exchange_id id) {
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    online_call& call = *found->second;
    const migration_state migration = std::exchange(call.migration, migration_state{});
    call.migration.attempted = true;
    slots_.release(migration.target.endpoint, policy::work_kind::online, call.tokens);
    const std::optional<std::string> handle = migration_protocol_.read_handle(migration.body);
    log_info("run_moved")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("to", migration.target.endpoint.str())
        .with("behind_event", call.last_event)
        .with("status", migration.status)
        .with("stopped", handle ? 1 : 0);
    if (!handle) {
        if (migration.stream_ended)
            fail(call, status_bad_gateway, "run_ended_while_moved");
        return;
    }
    metrics_.count("runs_moved");
    policy::placement source;
    source.endpoint = call.endpoint;
    source.incarnation = call.incarnation;
    source.address = call.address;
    source.version = call.endpoint_version;
    const bool is_copied = migration.status == status_ok;
    const kv_cache_copy copy{call.address, *handle};
    cancel_attempt(call);
    call.stopped_run = stopped_run{copy, is_copied ? migration.target : source, source};
    send(call, call.stopped_run->next);
}

// The copy outlives a rejection, and no other endpoint can continue the run.
void dispatcher::retry_stopped_run(online_call& call, const std::string& cause) {
    std::swap(call.stopped_run->next, call.stopped_run->other);
    metrics_.count("stopped_runs_rejected");
    log_info("attempt_not_run")
        .with("request", call.request_id)
        .with("endpoint", call.endpoint.str())
        .with("status", call.rejection_status)
        .with("cause", cause);
    retry_later(call);
}

// Called when the stream ends early. While a migration is pending, its response decides what
// follows. \returns whether one is pending.
bool dispatcher::defer_end_to_migration(online_call& call) {
    if (call.migration.pending_call == call_id())
        return false;
    client_.cancel(call.upstream_call);
    call.upstream_call = call_id();
    call.migration.stream_ended = true;
    return true;
}

void dispatcher::cancel_migration(online_call& call) {
    if (call.migration.pending_call == call_id())
        return;
    client_.cancel(call.migration.pending_call);
    slots_.release(call.migration.target.endpoint, policy::work_kind::online, call.tokens);
    call.migration = migration_state{};
    call.migration.attempted = true;
}

} // namespace cassia::gateway
