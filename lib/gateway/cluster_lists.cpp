// The lists of endpoints of all control keepers, which a gateway reads to find out whether a
// service has a single software version.

#include "cassia/gateway/cluster_client.h"

#include "cassia/net/task.h"

namespace cassia::gateway {

namespace {
// Take-ups come in bursts, when a gateway is lost: one request to the keepers serves them all.
constexpr milliseconds list_request_interval(10);
// No request waits for the lists for longer; a lost packet delays a reply by 200 ms.
constexpr milliseconds list_reading_time(250);
} // namespace

bool cluster_client::reads_lists(instant now) const {
    return lists_requested_at_ != instant() && now - lists_requested_at_ <= list_reading_time;
}

void cluster_client::request_lists() {
    if (list_request_scheduled_)
        return;
    const instant now = monotonic_now();
    const milliseconds since_last =
        std::chrono::duration_cast<milliseconds>(now - lists_requested_at_);
    if (since_last < list_request_interval) {
        list_request_scheduled_ = true;
        owner_.after(list_request_interval - since_last, [this] {
            list_request_scheduled_ = false;
            request_lists();
        });
        return;
    }
    lists_.drop_old(now);
    lists_requested_at_ = now;
    send_heartbeat(heartbeat_scope::control_keepers);
}

void cluster_client::read_lists(const schema::keeper_beacon& beacon, instant now) {
    const peer_address from(beacon.keeper());
    const bool follows = from == endpoints_.source();
    const bool is_current = follows ? endpoints_.apply_beacon(from, beacon, now)
                                    : lists_.apply_beacon(from, beacon, now);
    if (!is_current)
        return;
    if (!follows)
        versions_.observe(lists_.all(from), now);
    lists_.note_current(from, from_us(beacon.sent_at_us()), now);
}

version_evidence cluster_client::only_version(const service_id& service, instant since) const {
    // A control keeper that was stopped for long is no longer listed by others, but it still counts
    // if it is a seed.
    std::set<peer_address> members = seeds_;
    for (const std::pair<const peer_address, instant>& keeper : control_keepers_)
        members.insert(keeper.first);
    return {versions_.only_version(service, monotonic_now()),
            followed_.is_in_touch() && lists_.are_current(members, endpoints_.source(), since)};
}

} // namespace cassia::gateway
