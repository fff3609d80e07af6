/// Online requests on their way: matched to a route, placed at an endpoint, passed back.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/gateway/field_names.h"
#include "cassia/gateway/online_call.h"
#include "cassia/gateway/run_moves.h"
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
#include <utility>

namespace cassia::gateway {

struct dispatcher_hooks {
    /// A batch item must give up its slot; of another gateway if `holder` isn't empty.
    std::function<void(const entry_id& holder, const endpoint_id&)> yield_slot;
    /// A request has not run and never will.
    std::function<void(const policy::quota_grant&)> give_back;
};

constexpr int status_bad_gateway = 502;

/// Longest time that an event waits for others to go with it. A fraction of the 120 ms that
/// passing on may take, and two to three events at the pace of a calm endpoint.
constexpr milliseconds gather_limit(40);

class dispatcher {
public:
    dispatcher(net::raw_server& server, net::raw_client& client, policy::slot_table& slots,
               metrics& counts, field_names names, dispatcher_hooks hooks);
    ~dispatcher();

    void accept(admitted_request request);
    /// How runs are moved; without it none is.
    void set_moves(run_move_calls moves) { moves_ = std::move(moves); }
    /// The caller has left.
    void abandon(exchange_id id);
    /// Slots may have come free.
    void serve_waiting();
    void tick(instant now);

    std::size_t open() const { return calls_.size(); }
    std::size_t waiting() const { return queue_.size(); }

private:
    void place(online_call& call);
    void send(online_call& call, const policy::placement& place);
    net::raw_request request_for(const online_call& call, const endpoint_id& endpoint) const;
    void on_head(exchange_id id, const net::raw_head& head);
    void on_piece(exchange_id id, std::string_view bytes);
    void on_end(exchange_id id);
    void on_failure(exchange_id id, const net::raw_failure& failure);
    bool is_own_answer(const online_call& call, const net::raw_head& head) const;
    bool pass_events(online_call& call, std::string_view bytes);
    void begin_answer(online_call& call);
    void gather(online_call& call, const std::string& event);
    void flush(online_call& call);
    void hurry(online_call& call, instant now);
    bool may_go_on_elsewhere(const online_call& call) const;
    /// A free slot for a stream that stalled, not at its own endpoint.
    std::optional<policy::placement> place_elsewhere(const online_call& call, instant now);
    void move_stalled(online_call& call, instant now);
    bool may_move_run(const online_call& call) const;
    void move_run(online_call& call, instant now);
    void on_move_answer(exchange_id id);
    bool ends_by_move(online_call& call);
    void drop_move(online_call& call);
    void finish_plain(online_call& call);
    /// The attempt certainly did not run.
    void retry_unrun(online_call& call, const std::string& cause);
    /// The attempt may have run.
    void retry_or_fail(online_call& call, const std::string& cause);
    void suspect(const online_call& call, instant now);
    microseconds stall_limit(const online_call& call);
    /// Longest time without a byte, after which a run is taken for lost.
    microseconds silence_limit(const online_call& call) const;
    void drop_attempt(online_call& call);
    /// Ends the call with the promise that it has not run.
    void refuse(online_call& call, const std::string& cause);
    /// Ends the call; whether it ran is open.
    void fail(online_call& call, int status, const std::string& cause);
    void check_time(online_call& call, instant now);
    void close(exchange_id id);
    void log_outcome(const online_call& call, int status, const std::string& cause) const;

    net::raw_server& server_;
    net::raw_client& client_;
    policy::slot_table& slots_;
    metrics& metrics_;
    field_names names_;
    dispatcher_hooks hooks_;
    run_move_calls moves_;
    std::map<exchange_id, std::unique_ptr<online_call>> calls_;
    policy::request_queue queue_;
    std::map<service_id, policy::stall_timeout_estimator> paces_;
    std::mt19937_64 random_;
};

} // namespace cassia::gateway
