// Heartbeats of a gateway: which keepers get them, and which one it follows.

#include "cassia/gateway/cluster_client.h"

#include "cassia/base/digest.h"
#include "cassia/base/log.h"
#include "cassia/net/task.h"

#include <algorithm>

namespace cassia::gateway {

namespace {
// After a loss of all VMs every gateway asks for the routing table and the endpoints at once, and
// each connection costs a keeper on a small VM some milliseconds. So a gateway asks one seed first
// and another one only if there is no reply within this time, and connects to the other control
// keepers once it serves.
constexpr milliseconds seed_reply_timeout(120);
constexpr milliseconds other_keepers_after(1000);
} // namespace

// The more often a keeper gets heartbeats, the more closely its connection is watched.
net::peer_watch cluster_client::watch_for(const peer_address& keeper,
                                          const peer_address& followed) const {
    if (keeper == followed)
        return net::peer_watch::close;
    return work_keepers_.count(keeper) > 0 ? net::peer_watch::steady : net::peer_watch::relaxed;
}

bool cluster_client::is_starting(instant now) const {
    return now - started_at_ < other_keepers_after;
}

// In an order of this gateway's own, so that the gateways spread over the seeds.
std::vector<peer_address> cluster_client::ranked_seeds() const {
    std::vector<peer_address> ranked(seeds_.begin(), seeds_.end());
    const std::string& self = settings_.name();
    std::sort(ranked.begin(), ranked.end(), [&self](const peer_address& a, const peer_address& b) {
        return stable_hash(self + a.str()) < stable_hash(self + b.str());
    });
    return ranked;
}

void cluster_client::ask_next_seed() {
    if (routes_ || asked_seeds_ >= seeds_.size())
        return;
    ++asked_seeds_;
    send_heartbeat(heartbeat_scope::followed_keeper);
    owner_.after(seed_reply_timeout, [this] { ask_next_seed(); });
}

// The seed that is asked first is followed until a keeper replies, so that its first reply has all
// lists.
peer_address cluster_client::choose_followed(instant now) {
    const peer_address& chosen = followed_.choose(now);
    const bool may_follow_seed = is_starting(now) && !seeds_.empty();
    return chosen.empty() && may_follow_seed ? ranked_seeds().front() : chosen;
}

// While the followed keeper is out of touch with its group, all control keepers get heartbeats more
// often: any of them may be the first to have the routing table.
std::set<peer_address> cluster_client::control_recipients(const peer_address& followed,
                                                          heartbeat_scope scope,
                                                          instant now) const {
    std::set<peer_address> recipients;
    if (is_starting(now) && scope != heartbeat_scope::control_keepers) {
        const std::vector<peer_address> ranked = ranked_seeds();
        const std::size_t asked = routes_ ? 0 : std::min(asked_seeds_, ranked.size());
        recipients.insert(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(asked));
        return recipients;
    }
    const bool includes_all = scope == heartbeat_scope::control_keepers ||
                              (followed_.is_in_touch() ? scope == heartbeat_scope::all_keepers
                                                       : scope != heartbeat_scope::followed_keeper);
    if (!includes_all && !followed.empty())
        return recipients;
    recipients.insert(seeds_.begin(), seeds_.end());
    for (const std::pair<const peer_address, instant>& keeper : control_keepers_)
        recipients.insert(keeper.first);
    return recipients;
}

void cluster_client::send_heartbeat(heartbeat_scope scope) {
    const instant now = monotonic_now();
    const peer_address followed = choose_followed(now);
    if (roster_.follow(followed))
        log_info("keeper_followed").with("keeper", followed.str());
    // The keeper followed before learns that its list is dropped.
    const std::set<peer_address> control = control_recipients(followed, scope, now);
    std::set<peer_address> recipients = control;
    recipients.insert({endpoints_.source(), followed});
    recipients.erase(peer_address());
    // A keeper whose list was only read has to forget what it sent: the list followed starts anew.
    const bool list_starts_anew = followed != endpoints_.source();
    const bool forgets_first = list_starts_anew && read_keepers_.count(followed) > 0;
    endpoints_.follow(followed, std::min(now, last_control_beacon_at_));
    if (scope == heartbeat_scope::work_keepers || scope == heartbeat_scope::all_keepers) {
        for (const std::pair<const peer_address, instant>& keeper : work_keepers_)
            recipients.insert(keeper.first);
    }
    schema::envelope envelope;
    schema::entry_hello* heartbeat = envelope.mutable_hello();
    heartbeat->set_entry(settings_.name());
    heartbeat->set_incarnation(incarnation_);
    heartbeat->set_peer_address(settings_.peer_address());
    heartbeat->set_http_address(settings_.serve_address());
    heartbeat->set_zone(settings_.zone());
    heartbeat->set_region(settings_.region());
    heartbeat->set_draining(leaving_ || !routes_);
    heartbeat->set_routes_version(routes_ ? routes_->version() : 0);
    heartbeat->set_sent_at_us(to_us(now));
    for (const peer_address& recipient : recipients) {
        const keeper_state& keeper = keepers_[recipient];
        heartbeat->set_keepers_digest(keeper.keepers_digest);
        // Keepers list endpoints only for gateways that follow them.
        const bool reads_list = reads_lists(now) && control.count(recipient) > 0;
        if (recipient == followed && forgets_first) {
            heartbeat->set_follows(false);
            hub_.send(recipient, envelope, watch_for(recipient, followed));
        }
        heartbeat->set_follows(recipient == followed || reads_list);
        if (reads_list && recipient != followed)
            read_keepers_.insert(recipient);
        else
            read_keepers_.erase(recipient);
        if (recipient == followed) {
            roster_.write(*heartbeat);
            endpoints_.write(*heartbeat);
        } else if (reads_list) {
            lists_.write(recipient, *heartbeat);
        } else {
            heartbeat->clear_directory_epoch();
            heartbeat->clear_directory_revision();
        }
        hub_.send(recipient, envelope, watch_for(recipient, followed));
    }
}

} // namespace cassia::gateway
