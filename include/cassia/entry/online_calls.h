/// Serves online calls: admission, idempotency keys, routing, retries, and continuation of
/// interrupted streams at another endpoint.
#pragma once

#include "cassia/entry/crash_tracker.h"
#include "cassia/entry/http_task.h"
#include "cassia/entry/request_text.h"
#include "cassia/policy/admission.h"
#include "cassia/policy/batch_slots.h"
#include "cassia/policy/router.h"

#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cassia::entry {

class online_calls {
public:
    online_calls(http_context& context, std::function<void(batch_capacities)> on_batch_capacities);
    ~online_calls();

    /// Serves a call of a model: /v1/completions or /v1/chat/completions.
    void serve_model(exchange_id exchange, net::http_request request,
                     const authenticated_caller& caller, const std::string& request_id);
    /// Serves a call of a plain service: /v1/services/{service}/{path}.
    void serve_service(exchange_id exchange, net::http_request request,
                       const authenticated_caller& caller, const std::string& request_id);
    void on_caller_disconnected(exchange_id exchange);

    void on_view_changed();
    void set_batch_uses(const std::vector<endpoint_use>& uses);
    void tick(instant now);
    std::size_t open_calls() const { return calls_.size(); }
    boost::json::object dump(instant now) const;

private:
    struct call_state {
        exchange_id exchange;
        std::string request_id;
        authenticated_caller caller;
        net::http_request request;
        boost::json::object body; ///< parsed body of a model call
        policy::service_demand demand;
        software_version endpoint_software; ///< of the last attempt's endpoint
        bool for_engine = true;             ///< a call of a model, not of a plain service
        bool wants_stream = false;
        bool repeatable = true;
        std::string endpoint_path; ///< path to request from the endpoint
        std::string idempotency_key;
        bool key_claimed = false; ///< or may be claimed: to be finished or released
        cassia::fingerprint fingerprint;
        std::uint64_t prefix_hash = 0; ///< of the start of the prompt; 0 without one
        instant arrived_at{};
        instant deadline{};
        bool waiting = false;

        // The current attempt.
        int attempts = 0;
        std::set<endpoint_id> failed_endpoints;
        endpoint_id endpoint;
        call_id upstream_call;
        bool running = false;
        bool suspect = false;    ///< has a strike, and this attempt got no output yet
        bool has_output = false; ///< the endpoint has sent part of its response
        instant sent_at{};
        instant slot_requested_at{}; ///< when batch was last asked to free a slot for the call
        microseconds expected_first_token{0};
        bool alongside_batch = false;   ///< batch items ran at the endpoint when it was sent
        bool possibly_received = false; ///< an endpoint may have received the request

        // The response received so far.
        net::http_head response_head;
        std::string response_body;
        event_splitter splitter;
        std::vector<std::string> token_events; ///< data of the events from all attempts
        bool head_sent = false;
        bool first_token_seen = false;
        bool done_received = false;
    };

    // Arrival (online_arrival.cpp).
    bool read_model_body(call_state& call);
    bool read_headers(call_state& call);
    bool is_allowed(const call_state& call) const;
    void admit(call_state admitted);
    bool check_rate_limit(call_state& call);
    void claim_key(call_state& call);
    void on_key_claimed(exchange_id exchange, const schema::keeper_reply& reply);
    void enqueue(call_state& call);
    double expected_wait_s() const;
    bool can_meet_deadline(const call_state& call) const;
    void reject_before_admission(const call_state& call, const rejection& rejected);

    // Queue maintenance and termination (online_calls.cpp).
    void reject(exchange_id exchange, rejection rejected);
    bool cancel_call(call_state& call);
    void remove(exchange_id exchange);
    void refresh_rate_limits();
    void request_slots_for_delayed_calls(instant now);
    void update_attempt_end_rate(instant now);

    // Dispatch (online_dispatch.cpp).
    bool try_dispatch(exchange_id exchange);
    void dispatch(call_state& call, const policy::pick& chosen);
    std::string upstream_request_body(const call_state& call) const;
    void on_head(exchange_id exchange, const net::http_head& head);
    void on_chunk(exchange_id exchange, std::string_view chunk);
    static bool is_event_stream(const call_state& call);
    void forward_events(call_state& call);
    void on_end(exchange_id exchange);
    void on_failure(exchange_id exchange, const net::http_failure& failure);
    void handle_failure(exchange_id exchange, const net::http_failure& failure, bool crashed);
    void end_attempt(call_state& call, policy::call_result result);
    void record_crash(const endpoint_id& endpoint);
    void retry(call_state& call, const std::string& reason);

    // Responses (online_answers.cpp).
    void record_first_token(call_state& call);
    std::string full_stream(const call_state& call) const;
    void finish(call_state& call);
    void respond(call_state& call);
    void store_response(const call_state& call);
    schema::keeper_request make_key_finish_request(const call_state& call) const;
    void release_key(const call_state& call, bool outcome_unknown);
    void record_decision(decision_kind kind, const call_state& call, const std::string& object,
                         const std::string& reason);

    void publish_batch_capacities();
    void dispatch_waiting();
    void report_uses();
    call_state* find(exchange_id exchange);
    group_id key_group(const call_state& call) const;

    http_context& context_;
    std::function<void(batch_capacities)> on_batch_capacities_;
    net::http_client client_;
    policy::router router_;
    policy::fair_queue waiting_;
    policy::retry_budget retry_budget_;
    crash_tracker crash_tracker_;
    std::map<team_id, policy::rate_limiter> rate_limiters_;
    std::map<endpoint_id, policy::batch_slot_controller> batch_slots_;
    std::map<endpoint_id, endpoint_use> batch_uses_;
    std::map<exchange_id, call_state> calls_;
    double attempt_end_rate_ = 0;      ///< ended attempts per second, smoothed
    std::uint64_t ended_attempts_ = 0; ///< attempts ended since the rate was last updated
    instant attempt_end_rate_updated_at_{};
    instant capacities_published_at_{};
};

} // namespace cassia::entry
