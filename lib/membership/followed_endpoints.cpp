#include "cassia/membership/followed_endpoints.h"

namespace cassia::membership {

void followed_endpoints::follow(const peer_address& source, instant now) {
    if (source == source_)
        return;
    source_ = source;
    epoch_ = 0;
    revision_ = 0;
    directory_.withdraw_vouches(now);
}

void followed_endpoints::write(schema::entry_hello& heartbeat) const {
    heartbeat.set_directory_epoch(epoch_);
    heartbeat.set_directory_revision(revision_);
}

bool followed_endpoints::apply_beacon(const peer_address& keeper,
                                      const schema::keeper_beacon& beacon, instant now) {
    if (keeper != source_ || beacon.directory_revision() == 0)
        return false;
    const bool whole_list = beacon.endpoints_base() == 0;
    const bool same_list = beacon.directory_epoch() == epoch_;
    const bool outdated = same_list && beacon.directory_revision() < revision_;
    const bool follows_lost_beacon =
        !whole_list && (!same_list || beacon.endpoints_base() > revision_);
    if (outdated || follows_lost_beacon)
        return false;
    epoch_ = beacon.directory_epoch();
    revision_ = beacon.directory_revision();
    if (whole_list)
        directory_.withdraw_vouches(now);
    for (const schema::endpoint_record& record : beacon.endpoints())
        directory_.merge_judged(record, now);
    directory_.adopt_waiting(now);
    return true;
}

} // namespace cassia::membership
