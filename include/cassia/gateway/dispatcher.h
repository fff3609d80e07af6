/// Forwards online requests to endpoints and their responses to callers, with queueing, retries,
/// resumption of streams and migration of runs.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/crash_monitor.h"
#include "cassia/gateway/flow_control.h"
#include "cassia/gateway/header_names.h"
#include "cassia/gateway/online_call.h"
#include "cassia/gateway/origin_exchange.h"
#include "cassia/gateway/prompt_parts.h"
#include "cassia/gateway/run_migration.h"
#include "cassia/gateway/trial_exchange.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/raw_server.h"
#include "cassia/policy/request_queue.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/stream_pace.h"
#include "cassia/routes/table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace cassia::gateway {

struct dispatcher_hooks {
    /// Asks a batch item to yield its slot. `holder` is the gateway or zone that runs the item, by
    /// its key in the slot table; empty for this gateway.
    std::function<void(const entry_id& holder, const endpoint_id&)> request_yield;
    /// Refunds the quota of a request that has not run and never will.
    std::function<void(const policy::quota_grant&)> refund_quota;
    /// The software version of all endpoints that the service had lately, if there was but one.
    std::function<std::optional<software_version>(const service_id&)> only_version;
};

constexpr int status_bad_gateway = 502;

/// Longest time that an event is held back to be sent together with later ones. This is a fraction
/// of the 120 ms allowed for forwarding, and two to three events at the pace of an endpoint under
/// light load.
constexpr milliseconds max_event_delay(40);

/// Sent to rejected callers. Slots become free all the time: after this time the caller is as
/// likely to get one as any other.
constexpr milliseconds default_retry_after(400);

class dispatcher {
public:
    dispatcher(net::raw_server& server, net::raw_client& client, policy::slot_table& slots,
               crash_monitor& crashes, trial_exchange& trials, origin_exchange& origins,
               metrics& counts, header_names names, dispatcher_hooks hooks);
    ~dispatcher();

    void submit(routed_request admitted);
    /// Without a protocol runs don't migrate.
    void set_migration_protocol(migration_protocol protocol) {
        migration_protocol_ = std::move(protocol);
    }
    /// Without it requests have no parts of prompts.
    void set_prompt_parts_reader(prompt_parts_reader reader) {
        read_prompt_parts_ = std::move(reader);
    }
    /// Without it nothing that is held for callers is bounded.
    void set_flow_control(flow_control* flow) { flow_ = flow; }
    /// The caller disconnected before its response was complete.
    void on_caller_gone(exchange_id id);
    /// Ends the calls of requests that are quarantined by now.
    void stop_quarantined();
    /// Sends queued requests to slots that became free.
    void dispatch_queued();
    /// The software that began a stream was looked up.
    void on_origin(const policy::stream_origin_decision& decision);
    /// Ends waiting calls whose software version no endpoint has any more.
    void end_unservable();
    void tick(instant now);

    std::size_t open_calls() const { return calls_.size(); }
    std::size_t queued_calls() const { return queue_.size(); }

private:
    /// Sends the call to an endpoint with a slot for it, or queues it if there is none.
    void place(online_call& call);
    /// Sends a suspect to an endpoint of its own once it may run.
    void place_alone(online_call& call);
    /// Where a suspect may run now, if anywhere.
    std::optional<policy::placement> find_trial_endpoint(online_call& call, instant now);
    void end_trial(online_call& call);
    static stream_key key_of(online_call& call, std::string_view first_attempt);
    /// The caller has part of the stream: finds out which software began it.
    void take_up(online_call& call);
    void go_on(online_call& call, const policy::software& began_by, const std::string& evidence);
    /// No gateway that was asked knows what began the stream.
    void on_unknown_origin(online_call& call);
    void on_first_event(online_call& call);
    void cancel_lookup(online_call& call);
    /// Whether no endpoint may go on with the call's stream.
    bool is_unservable(const online_call& call) const;
    void end_unservable(online_call& call);
    judged_cause judge(online_call& call) const;
    static const fingerprint& fingerprint_of(online_call& call);
    /// Ends the call of a quarantined request.
    void stop(online_call& call);
    static ended_run run_of(online_call& call);
    /// The response was complete. \param has_output false if it is an error.
    void record_complete_run(online_call& call, bool has_output);
    /// Whether the endpoint may run the attempt and has sent nothing for some time.
    bool is_silent(const online_call& call) const;
    /// Ends the call without another attempt.
    void fail_attempt(online_call& call, const std::string& cause);
    void send(online_call& call, const policy::placement& placement);
    net::raw_request make_upstream_request(const online_call& call,
                                           const endpoint_id& endpoint) const;
    void on_head(exchange_id id, const net::raw_head& head);
    void on_body(exchange_id id, std::string_view bytes);
    void on_end(exchange_id id);
    void on_failure(exchange_id id, const net::raw_failure& failure);
    bool is_response_to(const online_call& call, const net::raw_head& head) const;
    /// Forwards complete events. \returns false if one is out of order.
    bool forward_events(online_call& call, std::string_view bytes);
    void begin_response(online_call& call);
    /// Forwards what was gathered of a response that isn't a stream, if it is too long to be kept.
    void forward_part(online_call& call);
    bool is_paused(const online_call& call) const;
    /// The endpoint gave up a response that its caller didn't read.
    void on_unread_response(online_call& call);
    void buffer_event(online_call& call, const std::string& event);
    void flush_events(online_call& call);
    /// Asks a batch item at the call's endpoint to yield its slot if all slots there are taken.
    void reclaim_slot(online_call& call, instant now);
    bool may_retry(const online_call& call) const;
    /// A free slot for a stalled stream at another endpoint than its own.
    std::optional<policy::placement> place_elsewhere(const online_call& call, instant now);
    void resume_elsewhere(online_call& call, instant now);
    bool may_migrate(const online_call& call) const;
    void start_migration(online_call& call, instant now);
    void on_migration_response(exchange_id id);
    /// The endpoint that was to resume the run has rejected it.
    void retry_stopped_run(online_call& call, const std::string& cause);
    bool defer_end_to_migration(online_call& call);
    void cancel_migration(online_call& call);
    void forward_complete_response(online_call& call);
    /// The attempt certainly did not run.
    void retry_not_run(online_call& call, const std::string& cause);
    /// Places the call again after a delay that grows with each rejection.
    void retry_later(online_call& call);
    /// The attempt may have run.
    void retry_or_fail(online_call& call, const std::string& cause);
    /// Ejects the call's endpoint: it gets no requests for a time.
    void eject_endpoint(const online_call& call, instant now);
    /// Time without a byte after which a stream is resumed at another endpoint with a free slot, or
    /// its run is migrated there.
    microseconds stall_timeout(const online_call& call);
    /// Time without a byte after which an attempt is considered lost.
    microseconds inactivity_timeout(const online_call& call) const;
    void cancel_attempt(online_call& call);
    void release_reserved_slots(online_call& call);
    /// Ends the call with a response that guarantees that the request has not run.
    void reject(online_call& call, const std::string& cause,
                milliseconds retry_after = default_retry_after, std::string_view text = "");
    /// Ends the call; the request may have run.
    void fail(online_call& call, int status, const std::string& cause);
    void check_timeouts(online_call& call, instant now);
    void close(exchange_id id);
    void log_outcome(const online_call& call, int status, const std::string& cause) const;

    net::raw_server& server_;
    net::raw_client& client_;
    policy::slot_table& slots_;
    crash_monitor& crashes_;
    trial_exchange& trials_;
    origin_exchange& origins_;
    metrics& metrics_;
    header_names names_;
    dispatcher_hooks hooks_;
    migration_protocol migration_protocol_;
    prompt_parts_reader read_prompt_parts_;
    flow_control* flow_ = nullptr;
    std::map<exchange_id, std::unique_ptr<online_call>> calls_;
    std::map<lookup_id, exchange_id> lookups_;
    /// The suspect that runs without a coordinator, for each service.
    std::map<service_id, exchange_id> running_alone_;
    policy::request_queue queue_;
    std::map<service_id, policy::stall_timeout_estimator> paces_;
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
