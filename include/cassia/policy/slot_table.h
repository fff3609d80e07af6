/// Which slots of the endpoints are taken, by this entry and by the others, and where the next
/// request goes. Pure.
#pragma once

#include "cassia/base/clock.h"
#include "cassia/base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassia::policy {

enum class work_kind : std::uint8_t { online, batch };

/// An endpoint that may get work.
struct slot_endpoint {
    endpoint_id id;
    std::uint64_t incarnation = 0;
    http_address address;
    zone_id zone;
    service_id service;
    std::uint32_t slots = 1; ///< requests that it runs at once

    friend bool operator==(const slot_endpoint&, const slot_endpoint&) = default;
};

/// What one entry, or several together, have under way at an endpoint.
struct slot_usage {
    std::uint32_t online = 0;
    std::uint32_t batch = 0;
    std::uint32_t suspected_by = 0; ///< entries whose last requests there came to nothing

    friend bool operator==(const slot_usage&, const slot_usage&) = default;
};

using slot_usage_map = std::map<endpoint_id, slot_usage>;

struct placement {
    endpoint_id endpoint;
    http_address address;
    /// Set if a batch item has to yield its slot: the entry that runs it, empty for this one.
    std::optional<entry_id> yielding_gateway;
    std::int64_t free = 0; ///< slots that seemed free there
    bool on_trial = false; ///< its last requests came to nothing
};

/// Adds what somebody has under way to a sum.
void add_usage(slot_usage_map& sum, const slot_usage_map& uses);

class slot_table {
public:
    explicit slot_table(zone_id own_zone) : own_zone_(std::move(own_zone)) {}

    /// Replaces the endpoints; what is under way at those that stay is kept.
    void set_endpoints(const std::vector<slot_endpoint>& endpoints);
    /// What another entry, or those that one sums up, have under way, as it said last.
    void set_remote_usage(const entry_id& entry, slot_usage_map uses, instant now);
    /// Forgets entries that said nothing for long: their work is gone with them.
    void expire_remote_usage(instant now);

    void acquire(const endpoint_id& endpoint, work_kind kind);
    void release(const endpoint_id& endpoint, work_kind kind);
    /// What this entry has under way, and which endpoints it suspects, to be told to the others.
    slot_usage_map own_usage() const;

    /// A request came to nothing there. For a while, longer each time, it gets none; after that it
    /// is on trial until one is answered. \returns for how long it gets none.
    milliseconds record_failure(const endpoint_id& endpoint, instant now);
    /// A request was answered there.
    void record_success(const endpoint_id& endpoint);
    /// A stream from there paused for too long. One may have lost a packet; if another pauses
    /// before anything else is heard from there, the endpoint is suspected. \returns for how long
    /// it gets no requests, 0 if it still does.
    milliseconds record_stall(const endpoint_id& endpoint, instant now);
    /// Something of a stream came from there.
    void record_progress(const endpoint_id& endpoint);

    /// Where an online request goes: a free slot near by, one further off, or one that batch holds.
    /// Nothing if every slot serves an online request.
    /// \param draw 0 to 1; decides between equals.
    std::optional<placement> place_online(const service_id& service,
                                          const std::set<endpoint_id>& avoid, instant now,
                                          double draw) const;
    /// Another endpoint with a free slot for a stream that stalled; nothing that would make anybody
    /// wait.
    std::optional<placement> place_stalled(const service_id& service,
                                           const std::set<endpoint_id>& avoid, instant now,
                                           double draw) const;
    /// Where a batch item goes: a free slot, while more than the reserve is free; any free one if
    /// the item is urgent.
    std::optional<placement> place_batch(const service_id& service,
                                         const std::set<endpoint_id>& avoid, instant now,
                                         double draw, bool urgent = false) const;
    /// Whether all slots are taken, as far as is known.
    bool is_full(const endpoint_id& endpoint) const;
    /// An entry that runs batch items there; this one if it does (empty), or any other.
    std::optional<entry_id> batch_holder(const endpoint_id& endpoint) const;
    /// The same where all slots are taken; nothing where an item that yields makes no room.
    std::optional<entry_id> batch_holder_if_full(const endpoint_id& endpoint) const;
    /// Slots of a service that batch may still take.
    std::uint32_t batch_capacity(const service_id& service, instant now) const;
    std::uint32_t total_slots(const service_id& service, instant now) const;
    bool contains(const endpoint_id& endpoint) const { return endpoints_.count(endpoint) > 0; }

private:
    struct known_endpoint {
        slot_endpoint facts;
        instant suspended_until{};
        std::uint32_t failures = 0; ///< in a row
        bool stalled = false;       ///< a stream paused, and nothing was heard from there since
    };
    struct other_entry {
        slot_usage_map uses;
        instant heard{};
    };
    struct candidate {
        const known_endpoint* endpoint = nullptr;
        std::int64_t free = 0;           ///< slots that nobody uses
        std::int64_t free_of_online = 0; ///< slots without an online request
        bool on_trial = false;           ///< to be used where there is nothing else
    };

    void take_from_others(const slot_usage_map& uses);
    slot_usage total_use(const endpoint_id& endpoint) const;
    std::uint32_t suspecting_others(const endpoint_id& endpoint) const;
    std::vector<candidate> candidates(const service_id& service, const std::set<endpoint_id>& avoid,
                                      instant now) const;
    static placement placed_at(const candidate& chosen);
    const candidate* best(const std::vector<candidate>& all, bool own_zone, bool on_trial,
                          double draw) const;
    const candidate* best_yielding(const std::vector<candidate>& all, bool own_zone, bool on_trial,
                                   double draw) const;

    zone_id own_zone_;
    std::map<endpoint_id, known_endpoint> endpoints_;
    slot_usage_map own_;
    std::map<entry_id, other_entry> others_;
    /// Sums of `others_`: with 64 of them each placement would add up some thousand counts.
    slot_usage_map others_total_;
};

} // namespace cassia::policy
