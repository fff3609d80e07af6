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
#include "cassia/gateway/request_tokens.h"
#include "cassia/gateway/run_migration.h"
#include "cassia/gateway/trial_exchange.h"
#include "cassia/gateway/version_evidence.h"
#include "cassia/net/raw_client.h"
#include "cassia/net/raw_server.h"
#include "cassia/policy/hedging.h"
#include "cassia/policy/request_queue.h"
#include "cassia/policy/shutdown_admission.h"
#include "cassia/policy/slot_forecast.h"
#include "cassia/policy/slot_table.h"
#include "cassia/policy/stream_pace.h"
#include "cassia/policy/team_shares.h"
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
    /// The software version of all endpoints that the service had lately, if there was but one, as
    /// known after a time.
    std::function<version_evidence(const service_id&, instant since)> only_version =
        [](const service_id&, instant) { return version_evidence(); };
    /// Requests the lists that only_version() is judged by.
    std::function<void()> request_versions = [] {};
    /// Whether an endpoint of the service has reported its pace. Only then are its calls hedged.
    std::function<bool(const service_id&)> reports_pace = [](const service_id&) { return false; };
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
    /// Largest share of a service's calls that get a second attempt; 0, the default, for none.
    void set_hedge_percent(std::uint32_t percent) { hedging_ = policy::hedging(percent); }
    /// Without it no request states how much memory it takes.
    void set_request_tokens_reader(request_tokens_reader reader) {
        read_request_tokens_ = std::move(reader);
    }
    /// Orders queued requests by the teams of the table of routes, if it has any.
    void set_teams(const teams::team_table& teams);
    /// Rejects requests ahead that won't get a slot in time.
    void set_refuse_ahead(bool enabled) { refuses_ahead_ = enabled; }
    /// Use of slots by teams, to be exchanged with other gateways.
    policy::team_shares& shares() { return shares_; }
    /// Logs the largest users of slots and their shares.
    void log_shares() const;
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
    /// More may be known of the software that began streams.
    void check_unknown_origins();
    /// Ends waiting calls whose software version no endpoint has any more.
    void end_unservable();
    /// From now on requests that can't end until then are rejected instead of being sent.
    void begin_shutdown(instant stop_at) { shutdown_.begin(stop_at); }
    /// Ends all open calls: with a whole response, unless it has begun.
    void end_all();
    void tick(instant now);

    std::size_t open_calls() const { return calls_.size(); }
    std::size_t queued_calls() const { return queue_.size(); }

private:
    /// The call whose run shows whether a part that was quarantined still crashes endpoints.
    struct part_retry {
        exchange_id call;
        instant since{};
    };

    /// Sends the call to an endpoint with a slot for it, or queues it if there is none.
    void place(online_call& call);
    /// Whether the endpoints of the call's service can't hold the request. Limits may change.
    bool is_oversized(const online_call& call) const {
        return slots_.exceeds_memory(call.service, call.tokens);
    }
    void end_oversized(online_call& call);
    /// An endpoint with a slot and memory for the call, if there is one.
    std::optional<policy::placement> find_endpoint(online_call& call, instant now);
    /// Reserves memory for a large request, and asks a batch item there to yield.
    void reserve_memory(online_call& call, instant now);
    /// Sends a suspect to an endpoint of its own once it may run.
    void place_alone(online_call& call);
    /// Where a suspect may run now, if anywhere.
    std::optional<policy::placement> find_trial_endpoint(online_call& call, instant now);
    void end_trial(online_call& call);
    /// Whether another call's run has to show first that a part of its prompt, which was
    /// quarantined, crashes endpoints no more.
    bool depends_on_retry(online_call& call, instant now);
    static stream_key key_of(online_call& call, std::string_view first_attempt);
    /// The caller has part of the stream: finds out which software began it.
    void take_up(online_call& call);
    void go_on(online_call& call, const policy::software& began_by, const std::string& evidence);
    /// No gateway that was asked knows what began the stream.
    void on_unknown_origin(online_call& call);
    static bool has_one_target(const online_call& call);
    void on_first_event(online_call& call);
    void cancel_lookup(online_call& call);
    /// Whether no endpoint may go on with the call's stream.
    bool is_unservable(const online_call& call) const;
    void end_unservable(online_call& call);
    policy::run_kind kind_of(const online_call& call) const;
    /// Ends a call without an attempt that can't end before the gateway stops.
    /// \returns whether it did.
    bool end_too_late(online_call& call, instant now);
    /// Ends a begun response early, behind its whole events.
    void break_off(online_call& call);
    /// The call took so long, or would have taken longer.
    void note_run_time(const online_call& call, instant now);
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
    /// What came is the response to another request: this one may have run.
    void on_foreign_response(online_call& call);
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
    /// Makes the attempt with this number the call's current one. Each event of an endpoint is
    /// handled as one of the current attempt.
    void select_attempt(exchange_id id, std::uint32_t attempt);
    bool may_hedge(online_call& call, instant now) const;
    /// \returns whether a second attempt was sent.
    bool hedge_if_late(online_call& call, instant now);
    /// Time limits of a call with two attempts.
    void check_hedged(online_call& call, instant now);
    /// The current attempt has ended without a response. \returns whether another one runs, which
    /// is the current one from now on.
    bool continue_with_other(online_call& call, const std::string& cause);
    void cancel_other(online_call& call);
    /// Makes flow control act on the current attempt.
    void control_flow(const online_call& call);
    /// Ends the other attempt: the caller gets the response of the current one.
    void keep_current(online_call& call);
    void record_response_time(const online_call& call, bool is_success);
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
    /// Slots that teams over their share leave to others are the only free ones.
    bool holds_back_over_share(const service_id& service, instant now) const;
    /// Whether the call has to wait although a slot may be free.
    bool is_held_back(const online_call& call, instant now) const;
    static team_id team_of(const online_call& call);
    policy::slot_forecast& forecast_for(const online_call& call, instant now);
    policy::fleet_slots fleet_for(const online_call& call, instant now) const;
    void note_arrival(const online_call& call);
    void note_queued(online_call& call, instant now);
    void note_slot(online_call& call, bool acquired);
    /// Rejects queued requests that won't get a slot in time.
    void reject_missing_deadline(instant now);
    void reject_missing_deadline(const policy::queue_line& line, instant now);
    void reject_ahead(online_call& call, const policy::queued_request& waiting,
                      const policy::fleet_slots& fleet, std::size_t ahead, instant now);
    std::optional<milliseconds> plan_return(online_call& call, const policy::fleet_slots& fleet,
                                            std::size_t queued, instant now);
    /// For a call whose time for being sent is over.
    milliseconds retry_after_wait(online_call& call, instant now);
    void release_reserved_slots(online_call& call);
    /// Ends the call with a response that guarantees that the request has not run.
    void reject(online_call& call, const std::string& cause,
                milliseconds retry_after = default_retry_after, std::string_view text = "");
    void reject_with(online_call& call, const net::raw_head& head, const std::string& cause,
                     std::string_view text);
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
    request_tokens_reader read_request_tokens_;
    flow_control* flow_ = nullptr;
    std::map<exchange_id, std::unique_ptr<online_call>> calls_;
    std::map<lookup_id, exchange_id> lookups_;
    std::set<exchange_id> unknown_origins_; ///< calls that wait for only_version()
    /// The suspect that runs without a coordinator, for each service.
    std::map<service_id, exchange_id> running_alone_;
    std::map<fingerprint, part_retry> retries_; ///< by part, those that wait or run
    policy::request_queue queue_;
    policy::hedging hedging_;
    policy::shutdown_admission shutdown_;
    policy::team_shares shares_;
    bool refuses_ahead_ = false;
    /// By service, and whether the team is over its share: such requests wait for longer.
    std::map<std::pair<service_id, bool>, policy::slot_forecast> forecasts_;
    std::map<service_id, policy::stall_timeout_estimator> paces_;
    bool dispatching_ = false; ///< queued calls are being sent
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
