#include "cassia/entry/keeper_client.h"

#include "cassia/base/digest.h"

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
// Doubled with each transmission: resending faster would slow down a leader that is already slow.
constexpr milliseconds first_resend_delay(700);
constexpr milliseconds retry_delay(60);
} // namespace

// From a random id on: a reply may be meant for an earlier process at this address.
keeper_client::keeper_client(std::vector<keeper_address> keepers, send_function send)
    : keepers_(std::move(keepers)), send_(std::move(send)), last_id_(random_bits() / 2) {}

void keeper_client::set_keepers(std::vector<keeper_address> keepers) {
    keepers_ = std::move(keepers);
}

void keeper_client::send_request(schema::keeper_request request, request_options options,
                                 reply_callback on_reply, instant now) {
    const std::uint64_t first_id = last_id_ + 1;
    open_request& open = open_[first_id];
    open.request = std::move(request);
    open.options = std::move(options);
    open.on_reply = std::move(on_reply);
    open.expires_at = now + open.options.timeout;
    open.resend_delay = first_resend_delay;
    open.next_keeper = first_id;
    transmit(*open_.find(first_id), now);
}

const keeper_address& keeper_client::choose_keeper(open_request& open) {
    auto leader = leaders_.find(group_id(open.request.group()));
    if (leader != leaders_.end()) {
        auto found =
            std::find_if(keepers_.begin(), keepers_.end(), [&leader](const keeper_address& keeper) {
                return keeper.node == leader->second;
            });
        if (found != keepers_.end())
            return *found;
    }
    return keepers_[open.next_keeper++ % keepers_.size()];
}

void keeper_client::transmit(open_request_map::value_type& entry, instant now) {
    open_request& open = entry.second;
    open.request.set_id(++last_id_);
    open.rejected = false;
    open.pending.push_back(last_id_);
    transmissions_[last_id_] = entry.first;
    open.resend_at = open.options.resend ? now + open.resend_delay : open.expires_at;
    open.resend_delay *= 2;
    if (keepers_.empty())
        return;
    schema::envelope envelope;
    *envelope.mutable_request() = open.request;
    send_(choose_keeper(open).address, envelope);
}

keeper_client::open_request keeper_client::remove(open_request_map::iterator open) {
    for (const std::uint64_t id : open->second.pending)
        transmissions_.erase(id);
    open_request removed = std::move(open->second);
    open_.erase(open);
    return removed;
}

// A leader may take longer than the resend delay. If only the last transmission counted, none of
// its replies would, and each request would be sent again until its timeout expires.
void keeper_client::handle_reply(schema::keeper_reply reply, instant now) {
    auto transmission = transmissions_.find(reply.id());
    if (transmission == transmissions_.end())
        return;
    auto found = open_.find(transmission->second);
    open_request& open = found->second;
    transmissions_.erase(transmission);
    open.pending.erase(std::find(open.pending.begin(), open.pending.end(), reply.id()));
    const bool is_outdated = reply.id() != open.request.id();
    const bool rejected = reply.result() != schema::keeper_reply::done;
    const bool is_refusal = !rejected && open.options.is_refusal && open.options.is_refusal(reply);
    if (is_refusal || open.refusal) {
        settle_refusal(found, std::move(reply));
        return;
    }
    if (rejected && !is_outdated)
        learn_leader(group_id(open.request.group()), reply.leader());
    if (!rejected || !open.options.resend) {
        remove(found).on_reply(std::move(reply));
        return;
    }
    if (is_outdated)
        return;
    // The keeper is not the leader or cannot reply now. Retry after a short delay, at the leader
    // that it named, if any.
    open.rejected = true;
    open.resend_at = now + retry_delay;
    open.resend_delay = first_resend_delay;
}

// A transmission that a leader accepted before the refusal was applied before it. One that is still
// on its way, or whose leader stepped down since, may be applied later and granted.
void keeper_client::settle_refusal(open_request_map::iterator open, schema::keeper_reply reply) {
    open_request& request = open->second;
    const bool is_done = reply.result() == schema::keeper_reply::done;
    if (is_done && !request.options.is_refusal(reply)) {
        remove(open).on_reply(std::move(reply));
        return;
    }
    if (is_done)
        request.refusal = std::move(reply);
    else if (reply.result() != schema::keeper_reply::not_leader)
        request.in_doubt = true;
    request.resend_at = request.expires_at;
    if (!request.pending.empty())
        return;
    if (request.in_doubt) {
        fail(open);
        return;
    }
    schema::keeper_reply refusal = std::move(*request.refusal);
    remove(open).on_reply(std::move(refusal));
}

void keeper_client::learn_leader(group_id group, const std::string& named) {
    leaders_.erase(group);
    if (!named.empty())
        leaders_[group] = named;
}

void keeper_client::set_leader(group_id group, const std::string& node) {
    leaders_[group] = node;
}

void keeper_client::tick(instant now) {
    std::vector<std::uint64_t> due;
    for (const open_request_map::value_type& open : open_) {
        if (now >= open.second.resend_at || now >= open.second.expires_at)
            due.push_back(open.first);
    }
    for (const std::uint64_t first_id : due) {
        auto open = open_.find(first_id);
        if (now >= open->second.expires_at) {
            fail(open);
            continue;
        }
        if (!open->second.rejected)
            leaders_.erase(group_id(open->second.request.group()));
        transmit(*open, now);
    }
}

void keeper_client::fail(open_request_map::iterator open) {
    schema::keeper_reply failure;
    failure.set_result(schema::keeper_reply::unavailable);
    remove(open).on_reply(std::move(failure));
}

} // namespace cassia::entry
