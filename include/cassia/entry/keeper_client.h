/// Sends requests to the keepers: finds the leader of the group, resends requests that got no reply
/// and reports a failure when the request's timeout expires. Commands are idempotent, so resending
/// is safe; replies to an earlier transmission of a request are ignored.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cassia::entry {

struct keeper_address {
    std::string node;
    peer_address address;
};

struct request_options {
    milliseconds timeout{5000}; ///< longest wait for a final reply
    bool resend = true;         ///< false: send only once, for requests that are not idempotent
};

class keeper_client {
public:
    using send_function = std::function<void(const peer_address&, schema::envelope&)>;
    using reply_callback = std::function<void(schema::keeper_reply)>;

    keeper_client(std::vector<keeper_address> keepers, send_function send);

    /// Replaces the list of known keepers.
    void set_keepers(std::vector<keeper_address> keepers);

    /// Sends a request to the leader of its group. `on_reply` receives the reply, or one with the
    /// result `unavailable` when the timeout expires.
    void send_request(schema::keeper_request request, request_options options,
                      reply_callback on_reply, instant now);
    void handle_reply(schema::keeper_reply reply, instant now);
    /// Records that a keeper claims to lead the group.
    void set_leader(group_id group, const std::string& node);
    void tick(instant now);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request {
        schema::keeper_request request;
        request_options options;
        reply_callback on_reply;
        instant expires_at{};
        instant resend_at{};
        std::size_t next_keeper = 0;
    };

    void transmit(open_request& open, instant now);
    const keeper_address& choose_keeper(open_request& open);

    std::vector<keeper_address> keepers_;
    send_function send_;
    std::map<group_id, std::string> leaders_;
    std::map<std::uint64_t, open_request> open_; ///< by the id of the last transmission
    std::uint64_t last_id_ = 0;
};

} // namespace cassia::entry
