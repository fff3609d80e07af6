/// Online calls from arrival to answer: admission, idempotency keys, routing, retries, streams that
/// go on at another endpoint.
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
    online_calls(front_context& context, std::function<void(batch_offers)> on_batch_offers);
    ~online_calls();

    /// A call of a model: /v1/completions or /v1/chat/completions.
    void serve_model(exchange_id exchange, net::http_request request, const caller& from,
                     const std::string& request_id);
    /// A call of a plain service: /v1/services/{service}/{path}.
    void serve_service(exchange_id exchange, net::http_request request, const caller& from,
                       const std::string& request_id);
    /// The caller has gone.
    void gone(exchange_id exchange);

    void view_changed();
    void set_batch_uses(const std::vector<endpoint_use>& uses);
    void tick(instant now);
    std::size_t open_calls() const { return calls_.size(); }
    boost::json::object dump(instant now) const;

private:
    struct call {
        exchange_id exchange;
        std::string request_id;
        caller from;
        net::http_request request;
        boost::json::object body; ///< of a model call
        policy::service_demand demand;
        bool engine = true;
        bool streams = false;
        bool repeatable = true;
        std::string path; ///< at the endpoint
        std::string key;
        bool claimed = false;
        cassia::fingerprint print;
        std::uint64_t prefix = 0;
        instant arrived{};
        instant deadline{};
        bool waiting = false;

        // The attempt under way.
        int attempts = 0;
        std::set<endpoint_id> failed_at;
        endpoint_id endpoint;
        call_id upstream;
        bool running = false;
        bool suspect = false;
        bool has_output = false; ///< the endpoint began to answer
        instant sent_at{};
        instant room_asked_at{}; ///< when batch was last asked to make room for it
        microseconds expected_first_token{0};
        bool beside_batch = false;
        bool ever_sent = false; ///< some endpoint may have seen the request

        // The answer so far.
        net::http_head head;
        std::string answer;
        event_splitter events;
        std::vector<std::string> tokens; ///< data of the events so far, over all attempts
        bool head_sent = false;
        bool first_token_seen = false;
        bool done_seen = false;
    };

    // Arrival (online_arrival.cpp).
    bool read_model_body(call& one);
    bool read_headers(call& one);
    bool is_allowed(const call& one) const;
    void admit(call one);
    bool within_rate(call& one);
    void claim(call& one);
    void on_claimed(exchange_id exchange, const schema::keeper_reply& reply);
    void enqueue(call& one);
    double expected_wait_s() const;
    bool can_make_deadline(const call& one) const;
    void refuse_early(const call& one, const refusal& refused);

    // Upkeep (online_calls.cpp).
    void refuse(exchange_id exchange, refusal refused);
    bool withdraw(call& one);
    void remove(exchange_id exchange);
    void refresh_rates();
    void ask_for_room(instant now);
    void count_ends(instant now);

    // Dispatch (online_dispatch.cpp).
    bool try_dispatch(exchange_id exchange);
    void dispatch(call& one, const policy::pick& chosen);
    std::string upstream_body(const call& one) const;
    void on_head(exchange_id exchange, const net::http_head& head);
    void on_piece(exchange_id exchange, std::string_view piece);
    static bool is_event_stream(const call& one);
    void take_events(call& one);
    void on_end(exchange_id exchange);
    void on_failure(exchange_id exchange, const net::http_failure& failed);
    void decide_after_failure(exchange_id exchange, const net::http_failure& failed, bool died);
    void end_attempt(call& one, policy::call_result result);
    void blame_death(const endpoint_id& endpoint);
    void retry(call& one, const std::string& reason);

    // Answers (online_answers.cpp).
    void note_first_token(call& one);
    std::string whole_stream(const call& one) const;
    void finish(call& one);
    void deliver(call& one);
    void store_answer(const call& one);
    schema::keeper_request finish_request(const call& one) const;
    void release_key(const call& one, bool outcome_unknown);
    void explain(decision_kind kind, const call& one, const std::string& object,
                 const std::string& reason);

    void publish_batch_offers();
    void offer_waiting();
    void report_uses();
    call* find(exchange_id exchange);
    group_id key_group(const call& one) const;

    front_context& context_;
    std::function<void(batch_offers)> on_batch_offers_;
    net::http_client client_;
    policy::router router_;
    policy::waiting_room waiting_;
    policy::retry_budget retries_;
    crash_tracker crash_tracker_;
    std::map<team_id, policy::rate_limiter> rates_;
    std::map<endpoint_id, policy::batch_slots> slots_;
    std::map<endpoint_id, endpoint_use> batch_uses_;
    std::map<exchange_id, call> calls_;
    double ends_per_second_ = 0;
    std::uint64_t ends_ = 0;
    instant ends_counted_at_{};
    instant offered_at_{};
};

} // namespace cassia::entry
