/// Sends and receives the messages by which gateways keep teams' quotas over all of them.
#pragma once

#include "cassia/base/ids.h"
#include "cassia/policy/quota_enforcer.h"
#include "cassia/schema/messages.pb.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cassia::gateway {

struct quota_hooks {
    /// Sends to another gateway. \returns false if its address is unknown.
    std::function<bool(const entry_id& to, schema::envelope&)> send;
    /// A decision on a request that was asked for.
    std::function<void(const policy::quota_decision&)> on_decision;
};

class quota_link {
public:
    quota_link(entry_id self, std::uint64_t incarnation, policy::quota_tolerance tolerance,
               quota_hooks hooks);

    void set_gateways(const std::vector<policy::fleet_gateway>& others);
    void set_teams(const teams::team_table& teams);
    void leave();
    /// Decides on a request; with `asked`, `flush` sends the ask.
    policy::quota_decision admit(const team_id& team);
    void give_back(const policy::quota_grant& grant);
    void forget(std::uint64_t ask) { gate_.cancel_ask(ask); }
    /// Sends what is due and passes decisions on.
    void flush();
    /// \returns false if the message is of another kind.
    bool receive(const schema::envelope& message);

private:
    void on_report(const schema::quota_report& message);
    void on_reply(const schema::quota_reply& message);

    entry_id self_;
    quota_hooks hooks_;
    policy::quota_enforcer gate_;
};

} // namespace cassia::gateway
