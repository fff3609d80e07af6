#include "cassia/gateway/fleet_link.h"

#include "cassia/base/log.h"
#include "cassia/net/task.h"

#include <algorithm>
#include <utility>

namespace cassia::gateway {

namespace {
// Keepers list a gateway for 0.9 s after its last word, so two may get lost.
constexpr milliseconds hello_interval(250);
constexpr milliseconds tick_interval(50);
constexpr milliseconds keeper_forgotten_after(10000);
// Work keepers tell only that they are there, whom they lead, and which jobs have ended.
constexpr std::uint32_t heartbeats_for_each_to_work_keepers = 4;
// The keeper followed tells the same as the other keepers of its group. They are asked so that
// another one can be followed at once, and in case that it lags behind.
constexpr std::uint32_t heartbeats_for_each_to_all = 8;
// Four hellos without any answer.
constexpr milliseconds control_missed_after(1000);
// Endpoints fall silent without a change of the directory, so it is read anew this often.
constexpr milliseconds silence_check_interval(250);
} // namespace

// A clock that only goes forward while the VM runs: one that an operator sets back would make this
// process look older than the one before it.
static std::uint64_t incarnation_now() {
    return to_us(monotonic_now());
}

fleet_link::fleet_link(net::task& owner, const schema::gateway_settings& settings,
                       fleet_hooks hooks)
    : owner_(owner), settings_(settings), hooks_(std::move(hooks)), incarnation_(incarnation_now()),
      holder_(settings.name() + "/" + std::to_string(incarnation_)),
      hub_(owner,
           {settings.name(), peer_address(settings.peer_address()), peer_address(),
            settings.cluster().secret(), settings.cluster().security() != "none"},
           [this](schema::envelope& message) { on_message(message); }),
      keeper_client_({}, [this](const peer_address& to,
                                schema::envelope& message) { hub_.send(to, message); }),
      followed_(settings.name(), zone_id(settings.zone())), roster_(settings.name()),
      directory_(membership::directory_settings()),
      usage_(entry_id(settings.name()), zone_id(settings.zone()),
             {[this](const entry_id& to, schema::envelope& envelope) {
                  return send_to_gateway(to, envelope);
              },
              hooks_.on_uses, hooks_.on_yield}),
      quota_(
          entry_id(settings.name()), incarnation_,
          {settings.quota_overshoot(), settings.quota_overshoot_part(), settings.quota_window_s()},
          {[this](const entry_id& to, schema::envelope& envelope) {
               return send_to_gateway(to, envelope);
           },
           hooks_.on_quota}) {
    set_seeds({settings.cluster().seed().begin(), settings.cluster().seed().end()});
}

fleet_link::~fleet_link() = default;

std::string fleet_link::open() {
    const net::result<void> opened = hub_.open();
    if (!opened)
        return opened.error().text;
    owner_.every(hello_interval, [this] {
        ++heartbeats_;
        if (heartbeats_ % heartbeats_for_each_to_all == 0)
            say_hello(audience::all_keepers);
        else if (heartbeats_ % heartbeats_for_each_to_work_keepers == 0)
            say_hello(audience::work_keepers);
        else
            say_hello(audience::followed_keeper);
    });
    owner_.every(tick_interval, [this] { tick(); });
    say_hello(audience::all_keepers);
    return "";
}

void fleet_link::set_seeds(const std::vector<std::string>& seeds) {
    seeds_.clear();
    for (const std::string& seed : seeds)
        seeds_.insert(net::peer_of_seed(seed, settings_.peer_address()));
}

void fleet_link::leave() {
    leaving_ = true;
    usage_.leave();
    quota_.leave();
    say_hello(audience::all_keepers);
}

void fleet_link::ask(schema::keeper_request request, entry::request_options options,
                     entry::keeper_client::reply_callback done) {
    keeper_client_.send_request(std::move(request), options, std::move(done), monotonic_now());
}

void fleet_link::tell_held(schema::held_items held, group_id group) {
    auto leader = leaders_.find(group);
    if (leader == leaders_.end())
        return;
    held.set_holder(holder_);
    held.set_keeper_clock_us(keepers_[leader->second].clock_us);
    schema::envelope envelope;
    envelope.mutable_request()->set_group(static_cast<std::uint32_t>(group.value()));
    *envelope.mutable_request()->mutable_held() = std::move(held);
    hub_.send(leader->second, envelope);
}

// Keepers that are asked seldom are watched loosely.
net::peer_watch fleet_link::watch_of(const peer_address& keeper,
                                     const peer_address& followed) const {
    if (keeper == followed)
        return net::peer_watch::close;
    return work_keepers_.count(keeper) > 0 ? net::peer_watch::steady : net::peer_watch::relaxed;
}

// While no keeper is in touch with its group, all are asked more often: any may be the first to
// have a table.
void fleet_link::say_hello(audience chosen) {
    const instant now = monotonic_now();
    const peer_address followed = followed_.choose(now);
    roster_.follow(followed);
    std::set<peer_address> to;
    if (!followed.empty())
        to.insert(followed);
    const bool asks_all = followed_.is_in_touch() ? chosen == audience::all_keepers
                                                  : chosen != audience::followed_keeper;
    if (followed.empty() || asks_all) {
        to.insert(seeds_.begin(), seeds_.end());
        for (const std::pair<const peer_address, instant>& one : control_keepers_)
            to.insert(one.first);
    }
    if (chosen != audience::followed_keeper) {
        for (const std::pair<const peer_address, instant>& one : work_keepers_)
            to.insert(one.first);
    }
    schema::envelope envelope;
    schema::entry_hello* hello = envelope.mutable_hello();
    hello->set_entry(settings_.name());
    hello->set_incarnation(incarnation_);
    hello->set_peer_address(settings_.peer_address());
    hello->set_http_address(settings_.serve_address());
    hello->set_zone(settings_.zone());
    hello->set_region(settings_.region());
    hello->set_draining(leaving_ || !routes_);
    hello->set_routes_version(routes_ ? routes_->version() : 0);
    hello->set_sent_at_us(to_us(now));
    for (const peer_address& one : to) {
        const keeper_state& keeper = keepers_[one];
        hello->set_directory_epoch(keeper.directory_epoch);
        hello->set_directory_revision(keeper.directory_revision);
        hello->set_keepers_digest(keeper.keepers_digest);
        hello->set_follows(one == followed);
        if (one == followed)
            roster_.write(*hello);
        hub_.send(one, envelope, watch_of(one, followed));
    }
}

void fleet_link::on_message(const schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kBeacon:
        on_beacon(message.beacon());
        break;
    case schema::envelope::kReply:
        keeper_client_.handle_reply(message.reply(), monotonic_now());
        break;
    case schema::envelope::kStale:
        hooks_.on_stale(message.stale());
        break;
    default:
        if (!quota_.receive(message))
            usage_.receive(message);
        break;
    }
}

void fleet_link::on_beacon(const schema::keeper_beacon& beacon) {
    const instant now = monotonic_now();
    const peer_address from(beacon.keeper());
    keepers_[from].heard = now;
    keepers_[from].clock_us = beacon.keeper_clock_us();
    const std::size_t known = work_keepers_.size();
    learn_keepers(beacon, now);
    // A keeper that is new here gives leases to this process and doesn't know that it lives.
    if (work_keepers_.size() > known)
        say_hello(audience::all_keepers);
    for (const std::uint32_t group : beacon.leads()) {
        peer_address& leader = leaders_[group_id(group)];
        if (leader != from)
            log_info("leader_known").with("group", group).with("keeper", from.str());
        leader = from;
        keeper_client_.set_leader(group_id(group), from.str());
    }
    if (beacon.directory_epoch() != 0)
        learn_control(beacon, now);
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
            say_hello(audience::followed_keeper);
        } else {
            log_error("routes_refused").with("cause", compiled.error().text);
        }
    }
    if (beacon.cancelled_jobs_size() > 0) {
        std::set<job_id> jobs;
        for (const std::string& job : beacon.cancelled_jobs())
            jobs.insert(job_id(job));
        hooks_.on_cancelled(jobs);
    }
}

void fleet_link::learn_control(const schema::keeper_beacon& beacon, instant now) {
    const peer_address from(beacon.keeper());
    last_news_ = now;
    control_keepers_[from] = now;
    followed_.heard(from, beacon.in_touch(), now);
    learn_endpoints(beacon, now);
    learn_entries(beacon);
}

bool fleet_link::forget_silent(std::map<peer_address, instant>& keepers, instant now) {
    const std::size_t known = keepers.size();
    for (auto one = keepers.begin(); one != keepers.end();)
        one = now - one->second > keeper_forgotten_after ? keepers.erase(one) : std::next(one);
    return keepers.size() != known;
}

// A keeper names those it hears only when they differ from those it named before; until then they
// are still there.
void fleet_link::learn_keepers(const schema::keeper_beacon& beacon, instant now) {
    keeper_state& from = keepers_[peer_address(beacon.keeper())];
    if (beacon.keepers_size() > 0)
        from.keepers = {beacon.keepers().begin(), beacon.keepers().end()};
    from.keepers_digest = beacon.keepers_digest();
    const std::size_t known = work_keepers_.size();
    for (const schema::keeper_hello& one : from.keepers) {
        const peer_address address(one.address());
        if (one.control()) {
            control_keepers_[address] = now;
            followed_.set_zone(address, zone_id(one.zone()));
        }
        if (one.in_work_group())
            work_keepers_[address] = now;
    }
    forget_silent(control_keepers_, now);
    const bool forgot = forget_silent(work_keepers_, now);
    if (!forgot && known == work_keepers_.size())
        return;
    std::vector<entry::keeper_address> addresses;
    for (const std::pair<const peer_address, instant>& one : work_keepers_)
        addresses.push_back({one.first.str(), one.first});
    keeper_client_.set_keepers(std::move(addresses));
}

void fleet_link::learn_entries(const schema::keeper_beacon& beacon) {
    if (!roster_.learn(peer_address(beacon.keeper()), beacon))
        return;
    std::vector<policy::fleet_gateway> gateways;
    for (const std::pair<const entry_id, schema::entry_hello>& one : roster_.entries())
        gateways.push_back({one.first, zone_id(one.second.zone()), one.second.draining()});
    quota_.set_gateways(gateways);
    usage_.set_gateways(std::move(gateways));
}

void fleet_link::learn_endpoints(const schema::keeper_beacon& beacon, instant now) {
    keeper_state& keeper = keepers_[peer_address(beacon.keeper())];
    keeper.directory_epoch = beacon.directory_epoch();
    keeper.directory_revision = beacon.directory_revision();
    for (const schema::endpoint_record& record : beacon.endpoints())
        directory_.told(record, now);
    for (const schema::endpoint_pulse& pulse : beacon.pulses())
        directory_.told(pulse, now);
    publish_endpoints(now);
}

void fleet_link::publish_endpoints(instant now) {
    const bool unchanged = directory_.changes() == published_changes_;
    if (unchanged && now - published_at_ < silence_check_interval)
        return;
    published_changes_ = directory_.changes();
    published_at_ = now;
    // Silence is judged by the time of the last news: while no keeper can be heard at all, the
    // endpoints that were there are the best guess.
    std::vector<policy::slot_endpoint> endpoints;
    for (const membership::endpoint_entry* one : directory_.serving(std::min(now, last_news_))) {
        const schema::endpoint_record& record = one->record;
        endpoints.push_back({endpoint_id(record.id()), record.incarnation(),
                             http_address(record.address()), zone_id(record.zone()),
                             service_id(record.service()), std::max(record.max_running(), 1U)});
    }
    if (endpoints == published_)
        return;
    published_ = endpoints;
    log_info("endpoints_changed").with("serving", endpoints.size());
    hooks_.on_endpoints(endpoints);
}

// \returns false if no address is known.
bool fleet_link::send_to_gateway(const entry_id& to, schema::envelope& envelope) {
    auto found = roster_.entries().find(to);
    if (found == roster_.entries().end())
        return false;
    hub_.send(peer_address(found->second.peer_address()), envelope, net::peer_watch::relaxed);
    return true;
}

// Requests go on by what was known last; the lines say from when to when.
void fleet_link::watch_control(instant now) {
    if (last_news_ == instant())
        return;
    const bool lost = now - last_news_ > control_missed_after;
    if (lost == control_lost_)
        return;
    control_lost_ = lost;
    if (lost)
        log_warning("control_lost")
            .with("silent_ms", std::chrono::duration_cast<milliseconds>(now - last_news_).count());
    else
        log_info("control_regained").with("routes_version", routes_ ? routes_->version() : 0);
}

void fleet_link::tick() {
    const instant now = monotonic_now();
    keeper_client_.tick(now);
    watch_control(now);
    publish_endpoints(now);
}

} // namespace cassia::gateway
