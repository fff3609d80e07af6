#include "cassia/gateway/cluster_client.h"

#include "cassia/base/log.h"
#include "cassia/net/task.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// Keepers list a gateway as serving for 0.9 s after its last heartbeat, so two heartbeats in a row
// may be lost.
constexpr milliseconds heartbeat_interval(250);
constexpr milliseconds tick_interval(50);
// Keepers that were neither heard nor listed for this long are removed.
constexpr milliseconds keeper_expiry(10000);
// Work keepers only report that they are alive, which groups they lead and which jobs must stop, so
// they get a heartbeat once a second.
constexpr std::uint32_t rounds_per_work_keeper_heartbeat = 4;
// All keepers of the control group report the same state. Those not followed get a heartbeat too,
// so that another one can be followed at once, and in case that the one followed lags behind.
constexpr std::uint32_t rounds_per_heartbeat_to_all = 8;
// Four heartbeat intervals without a beacon of any control keeper.
constexpr milliseconds control_lost_after(1000);
// An endpoint that falls silent does not change the directory, so it is also checked periodically.
constexpr milliseconds endpoint_check_interval(250);
// Short compared with the time for which versions are remembered.
constexpr milliseconds version_check_interval(5000);
} // namespace

// Uses the monotonic clock of the VM: if the wall clock were set back, this process would look
// older than the one before it.
static std::uint64_t incarnation_now() {
    return to_us(monotonic_now());
}

cluster_client::cluster_client(net::task& owner, const schema::gateway_settings& settings,
                               cluster_hooks hooks)
    : owner_(owner), settings_(settings), hooks_(std::move(hooks)), incarnation_(incarnation_now()),
      lease_holder_(settings.name() + "/" + std::to_string(incarnation_)),
      hub_(owner,
           {settings.name(), peer_address(settings.peer_address()), peer_address(),
            settings.cluster().secret(), settings.cluster().security() != "none"},
           [this](schema::envelope& message) { on_message(message); }),
      keeper_client_({}, [this](const peer_address& to,
                                schema::envelope& message) { hub_.send(to, message); }),
      followed_(settings.name(), zone_id(settings.zone())), roster_(settings.name()),
      usage_(entry_id(settings.name()), zone_id(settings.zone()),
             {[this](const entry_id& to, schema::envelope& envelope) {
                  return send_to_gateway(to, envelope);
              },
              hooks_.on_usage, hooks_.on_team_use, hooks_.on_yield_request}),
      quota_(
          entry_id(settings.name()), incarnation_,
          {settings.quota_overshoot(), settings.quota_overshoot_part(), settings.quota_window_s()},
          {[this](const entry_id& to, schema::envelope& envelope) {
               return send_to_gateway(to, envelope);
           },
           hooks_.on_quota_decision}) {
    set_seeds({settings.cluster().seed().begin(), settings.cluster().seed().end()});
}

cluster_client::~cluster_client() = default;

std::string cluster_client::open() {
    const net::result<void> opened = hub_.open();
    if (!opened)
        return opened.error().text;
    owner_.every(heartbeat_interval, [this] {
        ++heartbeat_rounds_;
        if (heartbeat_rounds_ % rounds_per_heartbeat_to_all == 0)
            send_heartbeat(heartbeat_scope::all_keepers);
        else if (heartbeat_rounds_ % rounds_per_work_keeper_heartbeat == 0)
            send_heartbeat(heartbeat_scope::work_keepers);
        else
            send_heartbeat(heartbeat_scope::followed_keeper);
    });
    owner_.every(tick_interval, [this] { tick(); });
    ask_next_seed();
    return "";
}

void cluster_client::set_seeds(const std::vector<std::string>& seeds) {
    seeds_.clear();
    for (const std::string& seed : seeds)
        seeds_.insert(net::peer_of_seed(seed, settings_.peer_address()));
}

void cluster_client::leave() {
    leaving_ = true;
    usage_.leave();
    quota_.leave();
    send_heartbeat(heartbeat_scope::all_keepers);
}

void cluster_client::send_request(schema::keeper_request request, entry::request_options options,
                                  entry::keeper_client::reply_callback done) {
    keeper_client_.send_request(std::move(request), std::move(options), std::move(done),
                                monotonic_now());
}

void cluster_client::send_held_items(schema::held_items held, group_id group) {
    auto leader = leaders_.find(group);
    if (leader == leaders_.end())
        return;
    held.set_holder(lease_holder_);
    held.set_keeper_clock_us(keepers_[leader->second].clock_us);
    schema::envelope envelope;
    envelope.mutable_request()->set_group(static_cast<std::uint32_t>(group.value()));
    *envelope.mutable_request()->mutable_held() = std::move(held);
    hub_.send(leader->second, envelope);
}

void cluster_client::on_message(const schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kBeacon:
        on_beacon(message.beacon());
        break;
    case schema::envelope::kReply:
        keeper_client_.handle_reply(message.reply(), monotonic_now());
        break;
    case schema::envelope::kStale:
        hooks_.on_stale_items(message.stale());
        break;
    case schema::envelope::kPoison:
        hooks_.on_poison_news(message.poison());
        break;
    case schema::envelope::kOrigins:
        hooks_.on_stream_origins(message.origins());
        break;
    default:
        if (!quota_.receive(message))
            usage_.receive(message);
        break;
    }
}

void cluster_client::on_beacon(const schema::keeper_beacon& beacon) {
    const instant now = monotonic_now();
    const peer_address from(beacon.keeper());
    keepers_[from].last_beacon_at = now;
    keepers_[from].clock_us = beacon.keeper_clock_us();
    const std::size_t known_before = work_keepers_.size();
    update_keepers(beacon, now);
    // A work keeper that is new here may grant leases to this process without knowing that it is
    // alive.
    if (work_keepers_.size() > known_before)
        send_heartbeat(heartbeat_scope::work_keepers);
    for (const std::uint32_t group : beacon.leads()) {
        peer_address& leader = leaders_[group_id(group)];
        if (leader != from)
            log_info("leader_known").with("group", group).with("keeper", from.str());
        leader = from;
        keeper_client_.set_leader(group_id(group), from.str());
    }
    if (beacon.directory_epoch() != 0)
        on_control_beacon(beacon, now);
    const bool newer =
        beacon.has_routes() && (!routes_ || beacon.routes().version() > routes_->version());
    if (newer) {
        const routes::result<std::shared_ptr<const routes::table>> compiled =
            routes::table::compile(beacon.routes());
        if (compiled) {
            routes_ = compiled.value();
            log_info("routes_in_force")
                .with("version", routes_->version())
                .with("from", from.str());
            quota_.set_teams(routes_->teams());
            hooks_.on_routes(routes_);
            send_heartbeat(heartbeat_scope::followed_keeper);
        } else {
            log_error("routes_refused").with("cause", compiled.error().text);
        }
    }
    if (beacon.cancelled_jobs_size() > 0) {
        std::set<job_id> jobs;
        for (const std::string& job : beacon.cancelled_jobs())
            jobs.insert(job_id(job));
        hooks_.on_jobs_cancelled(jobs);
    }
}

void cluster_client::on_control_beacon(const schema::keeper_beacon& beacon, instant now) {
    const peer_address from(beacon.keeper());
    last_control_beacon_at_ = now;
    control_keepers_[from] = now;
    followed_.record_reply(from, beacon.in_touch(), now);
    read_lists(beacon, now);
    publish_endpoints(now);
    update_gateways(beacon);
    // Keepers list endpoints only for gateways that follow them. Chosen after the reply is
    // recorded: the beacon may be the first thing that this process reads after a freeze.
    if (followed_.choose(now) != endpoints_.source())
        send_heartbeat(heartbeat_scope::followed_keeper);
    if (reads_lists(now))
        hooks_.on_list_read();
}

bool cluster_client::remove_silent(std::map<peer_address, instant>& keepers, instant now) {
    const std::size_t size_before = keepers.size();
    for (auto keeper = keepers.begin(); keeper != keepers.end();)
        keeper = now - keeper->second > keeper_expiry ? keepers.erase(keeper) : std::next(keeper);
    return keepers.size() != size_before;
}

// A keeper lists the keepers that it hears only when the list has changed; until then the last list
// remains valid.
void cluster_client::update_keepers(const schema::keeper_beacon& beacon, instant now) {
    keeper_state& sender = keepers_[peer_address(beacon.keeper())];
    if (beacon.keepers_size() > 0)
        sender.keepers = {beacon.keepers().begin(), beacon.keepers().end()};
    sender.keepers_digest = beacon.keepers_digest();
    const std::size_t known_before = work_keepers_.size();
    for (const schema::keeper_hello& listed : sender.keepers) {
        const peer_address address(listed.address());
        if (listed.control()) {
            control_keepers_[address] = now;
            followed_.set_zone(address, zone_id(listed.zone()));
        }
        if (listed.in_work_group())
            work_keepers_[address] = now;
    }
    remove_silent(control_keepers_, now);
    const bool removed = remove_silent(work_keepers_, now);
    if (!removed && known_before == work_keepers_.size())
        return;
    std::vector<entry::keeper_address> addresses;
    for (const std::pair<const peer_address, instant>& keeper : work_keepers_)
        addresses.push_back({keeper.first.str(), keeper.first});
    keeper_client_.set_keepers(std::move(addresses));
}

void cluster_client::update_gateways(const schema::keeper_beacon& beacon) {
    if (!roster_.apply_beacon(peer_address(beacon.keeper()), beacon))
        return;
    std::vector<policy::fleet_gateway> gateways;
    for (const std::pair<const entry_id, schema::entry_hello>& gateway : roster_.entries())
        gateways.push_back(
            {gateway.first, zone_id(gateway.second.zone()), gateway.second.draining()});
    quota_.set_gateways(gateways);
    hooks_.on_gateways(gateways);
    usage_.set_gateways(std::move(gateways));
    hooks_.on_peers(usage_.peers(true), usage_.peers(false));
}

static std::uint32_t slots_of(const schema::endpoint_record& record) {
    return std::max(record.max_running(), 1U);
}

static bool is_same(const policy::slot_endpoint& published,
                    const membership::endpoint_state* known) {
    const schema::endpoint_record& record = known->record;
    return published.id.str() == record.id() && published.incarnation == record.incarnation() &&
           published.address.str() == record.address() && published.zone.str() == record.zone() &&
           published.service.str() == record.service() && published.slots == slots_of(record) &&
           published.version.str() == record.software_version();
}

// For services with more than one version, as service:version:endpoints.
static std::string count_by_version(const std::vector<policy::slot_endpoint>& endpoints) {
    std::map<service_id, std::map<software_version, std::size_t>> counts;
    for (const policy::slot_endpoint& one : endpoints)
        ++counts[one.service][one.version];
    std::string text;
    for (const std::pair<const service_id, std::map<software_version, std::size_t>>& service :
         counts) {
        if (service.second.size() < 2)
            continue;
        for (const std::pair<const software_version, std::size_t>& version : service.second)
            text += (text.empty() ? "" : ",") + service.first.str() + ":" + version.first.str() +
                    ":" + std::to_string(version.second);
    }
    return text;
}

void cluster_client::publish_endpoints(instant now) {
    const bool unchanged = endpoints_.changes() == published_changes_;
    if (unchanged && now - endpoints_checked_at_ < endpoint_check_interval)
        return;
    published_changes_ = endpoints_.changes();
    endpoints_checked_at_ = now;
    if (!unchanged || now - versions_observed_at_ >= version_check_interval) {
        versions_.observe(endpoints_.all(), now);
        versions_observed_at_ = now;
    }
    endpoints_.forget_old(std::min(now, last_control_beacon_at_));
    // Endpoints are judged as of the last beacon of a control keeper: while none can be heard, the
    // endpoints known last are the best guess.
    const std::vector<const membership::endpoint_state*> serving =
        endpoints_.serving(std::min(now, last_control_beacon_at_));
    if (std::equal(published_endpoints_.begin(), published_endpoints_.end(), serving.begin(),
                   serving.end(), is_same))
        return;
    published_endpoints_.clear();
    for (const membership::endpoint_state* known : serving) {
        const schema::endpoint_record& record = known->record;
        published_endpoints_.push_back({endpoint_id(record.id()), record.incarnation(),
                                        http_address(record.address()), zone_id(record.zone()),
                                        service_id(record.service()), slots_of(record),
                                        software_version(record.software_version())});
    }
    log_info("endpoints_changed")
        .with("serving", published_endpoints_.size())
        .with("versions", count_by_version(published_endpoints_));
    hooks_.on_endpoints(published_endpoints_);
}

bool cluster_client::send_to_gateway(const entry_id& to, schema::envelope& envelope) {
    auto found = roster_.entries().find(to);
    if (found == roster_.entries().end())
        return false;
    hub_.send(peer_address(found->second.peer_address()), envelope, net::peer_watch::relaxed);
    return true;
}

// Without the control group requests are served with the last known state; the log lines mark the
// start and the end of such a period.
void cluster_client::check_control_contact(instant now) {
    if (last_control_beacon_at_ == instant())
        return;
    const bool lost = now - last_control_beacon_at_ > control_lost_after;
    if (lost == control_lost_)
        return;
    control_lost_ = lost;
    if (lost)
        log_warning("control_lost")
            .with("silent_ms",
                  std::chrono::duration_cast<milliseconds>(now - last_control_beacon_at_).count());
    else
        log_info("control_regained").with("routes_version", routes_ ? routes_->version() : 0);
}

void cluster_client::tick() {
    const instant now = monotonic_now();
    keeper_client_.tick(now);
    check_control_contact(now);
    publish_endpoints(now);
}

} // namespace cassia::gateway
