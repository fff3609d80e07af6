/// Enforces teams' quotas across all gateways: exchanges the messages of policy::quota_gate. Each
/// team's quota is owned by one gateway, which decides where the others can't decide by themselves.
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
    /// The decision on a request that the owner of the quota was asked about.
    std::function<void(const policy::quota_decision&)> on_quota_decision;
};

class quota_coordinator {
public:
    quota_coordinator(entry_id self, std::uint64_t incarnation, policy::quota_tolerance tolerance,
                      quota_hooks hooks);

    void set_gateways(const std::vector<policy::fleet_gateway>& others);
    void set_teams(const teams::team_table& teams);
    /// Gives up the quotas that this gateway owns.
    void leave();
    /// Decides on a request. If the verdict is `asked`, the next `flush` sends the question to the
    /// owner of the quota.
    policy::quota_decision admit(const team_id& team);
    /// Returns the token of a request that has not run and never will.
    void refund(const policy::quota_grant& grant);
    /// Drops a pending question, by quota_decision::ask: the caller has disconnected.
    void cancel(std::uint64_t ask) { gate_.cancel_ask(ask); }
    /// Sends messages that are due and delivers decisions.
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
