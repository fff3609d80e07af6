/// Requests to the keepers: finds each group's leader, resends what got lost, gives up in time.
/// Commands are idempotent, so a resend is safe; late replies to an earlier send are dropped.
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
    milliseconds timeout{5000}; ///< longest wait for the outcome
    bool resend = true;         ///< false: sent once, for requests that aren't idempotent
};

class keeper_client {
public:
    using send_function = std::function<void(const peer_address&, schema::envelope&)>;
    using reply_callback = std::function<void(schema::keeper_reply)>;

    keeper_client(std::vector<keeper_address> keepers, send_function send);

    /// Replaces the keepers to ask.
    void set_keepers(std::vector<keeper_address> keepers);

    /// `done` gets the reply, or one with the result `unavailable` when patience ends.
    void send_request(schema::keeper_request request, request_options options, reply_callback done,
                      instant now);
    void handle_reply(schema::keeper_reply reply, instant now);
    /// A keeper said that it leads the group.
    void set_leader(group_id group, const std::string& node);
    void tick(instant now);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request {
        schema::keeper_request request;
        request_options options;
        reply_callback done;
        instant give_up_at{};
        instant resend_at{};
        std::size_t next_keeper = 0;
    };

    void send(open_request& one, instant now);
    const keeper_address& target(open_request& one);

    std::vector<keeper_address> keepers_;
    send_function send_;
    std::map<group_id, std::string> leaders_;
    std::map<std::uint64_t, open_request> open_; ///< by the id of the last send
    std::uint64_t last_id_ = 0;
};

} // namespace cassia::entry
