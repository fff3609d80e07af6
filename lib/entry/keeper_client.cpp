#include "cassia/entry/keeper_client.h"

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds resend_interval(700);
constexpr milliseconds pause_after_refusal(60);
} // namespace

keeper_client::keeper_client(std::vector<keeper_address> keepers, send_function send)
    : keepers_(std::move(keepers)), send_(std::move(send)) {}

void keeper_client::set_keepers(std::vector<keeper_address> keepers) {
    keepers_ = std::move(keepers);
}

void keeper_client::send_request(schema::keeper_request request, request_options options,
                                 reply_callback done, instant now) {
    open_request one;
    one.request = std::move(request);
    one.options = options;
    one.done = std::move(done);
    one.give_up_at = now + options.timeout;
    one.next_keeper = last_id_;
    send(one, now);
    open_[last_id_] = std::move(one);
}

const keeper_address& keeper_client::target(open_request& one) {
    auto leader = leaders_.find(group_id(one.request.group()));
    if (leader != leaders_.end()) {
        auto found =
            std::find_if(keepers_.begin(), keepers_.end(), [&leader](const keeper_address& keeper) {
                return keeper.node == leader->second;
            });
        if (found != keepers_.end())
            return *found;
    }
    return keepers_[one.next_keeper++ % keepers_.size()];
}

void keeper_client::send(open_request& one, instant now) {
    one.request.set_id(++last_id_);
    one.resend_at = one.options.resend ? now + resend_interval : one.give_up_at;
    if (keepers_.empty())
        return;
    schema::envelope envelope;
    *envelope.mutable_request() = one.request;
    send_(target(one).address, envelope);
}

void keeper_client::handle_reply(schema::keeper_reply reply, instant now) {
    auto found = open_.find(reply.id());
    if (found == open_.end())
        return;
    const group_id group(found->second.request.group());
    if (reply.result() == schema::keeper_reply::done || !found->second.options.resend) {
        reply_callback done = std::move(found->second.done);
        open_.erase(found);
        done(std::move(reply));
        return;
    }
    // Not the leader, or it can't answer now: asked again shortly, elsewhere if it names another.
    leaders_.erase(group);
    if (!reply.leader().empty())
        leaders_[group] = reply.leader();
    found->second.resend_at = now + pause_after_refusal;
}

void keeper_client::set_leader(group_id group, const std::string& node) {
    leaders_[group] = node;
}

void keeper_client::tick(instant now) {
    std::vector<open_request> due;
    for (auto one = open_.begin(); one != open_.end();) {
        if (now < one->second.resend_at && now < one->second.give_up_at) {
            ++one;
            continue;
        }
        due.push_back(std::move(one->second));
        one = open_.erase(one);
    }
    for (open_request& one : due) {
        if (now >= one.give_up_at) {
            schema::keeper_reply lost;
            lost.set_result(schema::keeper_reply::unavailable);
            one.done(std::move(lost));
            continue;
        }
        leaders_.erase(group_id(one.request.group()));
        send(one, now);
        open_[last_id_] = std::move(one);
    }
}

} // namespace cassia::entry
