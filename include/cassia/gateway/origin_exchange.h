/// Exchanges with other gateways which software began each stream; see policy::stream_origins.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"
#include "cassia/base/metrics.h"
#include "cassia/policy/stream_origins.h"
#include "cassia/schema/messages.pb.h"

#include <functional>
#include <optional>
#include <vector>

namespace cassia::net {
class task;
}

namespace cassia::gateway {

struct origin_exchange_hooks {
    /// Sends to another gateway. \returns false if its address is unknown.
    std::function<bool(const entry_id& to, schema::envelope&)> send;
    std::function<void(const policy::stream_origin_decision&)> on_decision;
};

class origin_exchange {
public:
    origin_exchange(net::task& owner, entry_id self, zone_id zone, metrics& counts,
                    origin_exchange_hooks hooks);

    void set_gateways(const std::vector<policy::fleet_gateway>& others);
    /// \param left how much longer the caller may take the stream up.
    void record(const stream_key& stream, const policy::software& began_by, microseconds left);
    /// The decision comes by the hook, later.
    lookup_id look_up(const stream_key& stream);
    void cancel(lookup_id lookup) { origins_.cancel(lookup); }
    void receive(const schema::stream_origin_news& news);
    void tick();

    std::size_t records() const { return origins_.records(); }

private:
    /// Sends what has gathered, and passes decisions on.
    void flush();

    net::task& owner_;
    entry_id self_;
    metrics& metrics_;
    origin_exchange_hooks hooks_;
    policy::stream_origins origins_;
    bool flush_pending_ = false;
};

} // namespace cassia::gateway
