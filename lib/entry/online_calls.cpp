#include "cassia/entry/online_calls.h"

#include "cassia/base/digest.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr unsigned connections_to_an_endpoint = 4096;
constexpr double retry_ratio = 0.2;
constexpr double retry_reserve = 20;
constexpr milliseconds offer_interval(50);
constexpr milliseconds count_interval(200);
// Twice what a calm engine takes for its first token (some 30 ms).
constexpr milliseconds least_wait_for_room(60);
} // namespace

online_calls::online_calls(front_context& context,
                           std::function<void(batch_offers)> on_batch_offers)
    : context_(context), on_batch_offers_(std::move(on_batch_offers)),
      client_(context.task, connections_to_an_endpoint,
              net::ip_of(context.settings.http_address())),
      router_(policy::router_settings{zone_id(context.settings.zone()),
                                      entry_id(context.settings.name())},
              random_bits()),
      waiting_(context.settings.max_queue()), retries_(retry_ratio, retry_reserve),
      crash_tracker_(context.task, client_, context.control, [this](const policy::strike& hit) {
          context_.decisions.add(decision_kind::struck, hit.request.str(), hit.endpoint.str(),
                                 "the endpoint died while it ran");
      }) {}

online_calls::~online_calls() = default;

online_calls::call* online_calls::find(exchange_id exchange) {
    auto found = calls_.find(exchange);
    return found == calls_.end() ? nullptr : &found->second;
}

group_id online_calls::key_group(const call& one) const {
    return state::group_of_key(one.from.plan->team, one.key,
                               context_.settings.cluster().work_groups());
}

// Stops what the call has under way and gives its key back. Tells whether an endpoint may have seen
// the request: an attempt under way may have reached it although no answer has begun. Taken for not
// run, its key would be freed, and a resend would run it a second time.
bool online_calls::withdraw(call& one) {
    const bool maybe_ran = one.ever_sent || one.running;
    if (one.running) {
        client_.cancel(one.upstream);
        end_attempt(one, policy::call_result::cancelled);
    }
    if (one.waiting)
        waiting_.remove(one.exchange);
    if (one.claimed)
        release_key(one, maybe_ran && !one.repeatable);
    return maybe_ran;
}

void online_calls::refuse(exchange_id exchange, refusal refused) {
    call* one = find(exchange);
    if (one == nullptr)
        return;
    const bool maybe_ran = withdraw(*one);
    if (maybe_ran && refused.run == run_state::no)
        refused.run = run_state::maybe;
    explain(decision_kind::refused, *one, code_name(refused.code), refused.message);
    context_.counters.count(std::string("refused_") + code_name(refused.code));
    if (one->head_sent) {
        context_.server->stream(exchange, to_event(refused, one->request_id));
        context_.server->end_stream(exchange);
    } else {
        context_.refuse(exchange, refused, one->request_id);
    }
    remove(exchange);
}

void online_calls::remove(exchange_id exchange) {
    calls_.erase(exchange);
}

void online_calls::gone(exchange_id exchange) {
    call* one = find(exchange);
    if (one == nullptr)
        return;
    // A caller that left a request which must not run twice may come back for its answer, so the
    // request runs to its end.
    const bool wants_answer_later = one->claimed && !one->repeatable;
    if (wants_answer_later)
        return;
    withdraw(*one);
    explain(decision_kind::ended, *one, "abandoned", "the caller went away");
    remove(exchange);
    offer_waiting();
}

void online_calls::view_changed() {
    router_.set_endpoints(context_.view->endpoints);
    crash_tracker_.merge_strikes(context_.view->strikes);
    for (const std::pair<const endpoint_id, endpoint_use>& use : batch_uses_)
        router_.set_own_batch(use.first, use.second.batch, use.second.suspects);
    refresh_rates();
    offer_waiting();
}

void online_calls::refresh_rates() {
    if (context_.view->catalog == nullptr)
        return;
    for (auto one = rates_.begin(); one != rates_.end();) {
        const settings::plan* plan = context_.view->catalog->find(one->first);
        if (plan == nullptr) {
            one = rates_.erase(one);
            continue;
        }
        one->second.configure(plan->rate.per_second, plan->burst.value);
        auto others = context_.view->peer_rates.find(one->first);
        one->second.set_others_rate(others == context_.view->peer_rates.end() ? 0 : others->second);
        ++one;
    }
}

void online_calls::set_batch_uses(const std::vector<endpoint_use>& uses) {
    for (const std::pair<const endpoint_id, endpoint_use>& old : batch_uses_)
        router_.set_own_batch(old.first, 0, 0);
    batch_uses_.clear();
    for (const endpoint_use& use : uses) {
        batch_uses_[use.endpoint] = use;
        router_.set_own_batch(use.endpoint, use.batch, use.suspects);
    }
}

// The rate at which calls end tells how long those that wait will wait.
void online_calls::count_ends(instant now) {
    constexpr double smoothing = 0.3;
    constexpr double us_per_second = 1e6;
    const double seconds = static_cast<double>((now - ends_counted_at_).count()) / us_per_second;
    ends_per_second_ += smoothing * (static_cast<double>(ends_) / seconds - ends_per_second_);
    ends_ = 0;
    ends_counted_at_ = now;
}

// Two entries may take the same free slot before they hear of each other (200 ms): the later call
// then waits in the engine behind a batch item, for as long as that runs. Whoever sees no first
// token asks the steward for one more slot, also if no batch is known to run there (that word may
// be as old): the slowest of 40 calls took 409 ms without this, most of a batch item's 520 ms.
void online_calls::ask_for_room(instant now) {
    for (std::pair<const exchange_id, call>& one : calls_) {
        call& waiting = one.second;
        if (!waiting.running || waiting.has_output || !waiting.engine)
            continue;
        const microseconds patience =
            std::max<microseconds>(least_wait_for_room, waiting.expected_first_token);
        if (now - waiting.room_asked_at < patience)
            continue;
        waiting.room_asked_at = now;
        context_.control.request_yield(waiting.endpoint, 1);
        context_.counters.count("yields_asked_again");
        explain(decision_kind::yielded, waiting, waiting.endpoint.str(), "no first token yet");
    }
}

void online_calls::tick(instant now) {
    ask_for_room(now);
    for (const exchange_id late : waiting_.expired(now)) {
        call* one = find(late);
        if (one == nullptr)
            continue;
        one->waiting = false;
        const bool own_deadline = one->deadline <= now;
        refuse(late, own_deadline
                         ? refusal{refusal_code::deadline, "the deadline passed while it waited",
                                   run_state::no, come_back_soon}
                         : refusal{refusal_code::no_endpoint, "all endpoints are busy",
                                   run_state::no, come_back_soon});
    }
    std::vector<exchange_id> late;
    for (const std::pair<const exchange_id, call>& one : calls_) {
        if (one.second.running && one.second.deadline <= now)
            late.push_back(one.first);
    }
    for (const exchange_id exchange : late)
        refuse(exchange, {refusal_code::deadline, "the deadline passed", run_state::maybe});
    if (now - ends_counted_at_ >= count_interval) {
        count_ends(now);
        report_uses();
    }
    if (now - offered_at_ >= offer_interval) {
        offered_at_ = now;
        publish_batch_offers();
    }
}

} // namespace cassia::entry
