#include "cassia/entry/keeper_client.h"

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds resend_interval(700);
constexpr milliseconds retry_delay(60);
} // namespace

keeper_client::keeper_client(std::vector<keeper_address> keepers, send_function send)
    : keepers_(std::move(keepers)), send_(std::move(send)) {}

void keeper_client::set_keepers(std::vector<keeper_address> keepers) {
    keepers_ = std::move(keepers);
}

void keeper_client::send_request(schema::keeper_request request, request_options options,
                                 reply_callback on_reply, instant now) {
    open_request open;
    open.request = std::move(request);
    open.options = options;
    open.on_reply = std::move(on_reply);
    open.expires_at = now + options.timeout;
    open.next_keeper = last_id_;
    transmit(open, now);
    open_[last_id_] = std::move(open);
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

void keeper_client::transmit(open_request& open, instant now) {
    open.request.set_id(++last_id_);
    open.resend_at = open.options.resend ? now + resend_interval : open.expires_at;
    if (keepers_.empty())
        return;
    schema::envelope envelope;
    *envelope.mutable_request() = open.request;
    send_(choose_keeper(open).address, envelope);
}

void keeper_client::handle_reply(schema::keeper_reply reply, instant now) {
    auto found = open_.find(reply.id());
    if (found == open_.end())
        return;
    const group_id group(found->second.request.group());
    if (reply.result() == schema::keeper_reply::done || !found->second.options.resend) {
        reply_callback on_reply = std::move(found->second.on_reply);
        open_.erase(found);
        on_reply(std::move(reply));
        return;
    }
    // The keeper is not the leader or cannot reply now. Retry after a short delay, at the leader
    // that it named, if any.
    leaders_.erase(group);
    if (!reply.leader().empty())
        leaders_[group] = reply.leader();
    found->second.resend_at = now + retry_delay;
}

void keeper_client::set_leader(group_id group, const std::string& node) {
    leaders_[group] = node;
}

void keeper_client::tick(instant now) {
    std::vector<open_request> due;
    for (auto pending = open_.begin(); pending != open_.end();) {
        if (now < pending->second.resend_at && now < pending->second.expires_at) {
            ++pending;
            continue;
        }
        due.push_back(std::move(pending->second));
        pending = open_.erase(pending);
    }
    for (open_request& pending : due) {
        if (now >= pending.expires_at) {
            schema::keeper_reply failure;
            failure.set_result(schema::keeper_reply::unavailable);
            pending.on_reply(std::move(failure));
            continue;
        }
        leaders_.erase(group_id(pending.request.group()));
        transmit(pending, now);
        open_[last_id_] = std::move(pending);
    }
}

} // namespace cassia::entry
