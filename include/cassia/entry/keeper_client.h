/// Sends requests to the keepers: finds the leader of the group, resends requests that got no reply
/// and reports a failure when the request's timeout expires. Commands are idempotent, so resending
/// is safe, and a successful reply to any transmission of a request completes it.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
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
    /// Whether the reply refuses what another transmission of the request may still be granted.
    /// Such a reply is final only when no other transmission can be applied any more.
    std::function<bool(const schema::keeper_reply&)> is_refusal{};
};

class keeper_client {
public:
    using send_function = std::function<void(const peer_address&, schema::envelope&)>;
    using reply_callback = std::function<void(schema::keeper_reply)>;

    keeper_client(std::vector<keeper_address> keepers, send_function send);

    /// Replaces the list of known keepers.
    void set_keepers(std::vector<keeper_address> keepers);

    /// Sends a request to the leader of its group. `on_reply` receives the reply, or one with the
    /// result `unavailable` when the timeout expires before a reply is final.
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
        milliseconds resend_delay{0};       ///< until the next transmission if there is no reply
        std::vector<std::uint64_t> pending; ///< ids of the transmissions without a reply
        std::size_t next_keeper = 0;
        bool rejected = false;                       ///< by the reply to the last transmission
        std::optional<schema::keeper_reply> refusal; ///< not final yet
        bool in_doubt = false; ///< a transmission may be applied after that refusal
    };
    using open_request_map = std::map<std::uint64_t, open_request>;

    void transmit(open_request_map::value_type& open, instant now);
    void fail(open_request_map::iterator open);
    open_request remove(open_request_map::iterator open);
    /// Records the reply to one of the transmissions of a request that has been refused.
    void settle_refusal(open_request_map::iterator open, schema::keeper_reply reply);
    void learn_leader(group_id group, const std::string& named);
    const keeper_address& choose_keeper(open_request& open);

    std::vector<keeper_address> keepers_;
    send_function send_;
    std::map<group_id, std::string> leaders_;
    open_request_map open_;                                ///< by the id of the first transmission
    std::map<std::uint64_t, std::uint64_t> transmissions_; ///< those in `pending`, to the first id
    std::uint64_t last_id_;
};

} // namespace cassia::entry
