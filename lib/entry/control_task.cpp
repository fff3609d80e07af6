#include "cassia/entry/control_task.h"

#include "cassia/base/log.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds tick_interval(50);
constexpr milliseconds hello_interval(400);
constexpr milliseconds gossip_interval(200);
constexpr milliseconds view_interval(100);
} // namespace

static std::vector<keeper_address> keeper_addresses(const schema::entry_settings& settings) {
    std::vector<keeper_address> out;
    for (const schema::peer_settings& keeper : settings.cluster().keeper())
        out.push_back({keeper.name(), peer_address(keeper.address())});
    return out;
}

control_task::control_task(const schema::entry_settings& settings, control_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), incarnation_(to_unix_ms(wall_now())),
      holder_(settings.name() + "/" + std::to_string(incarnation_)), task_("control"),
      keepers_(
          keeper_addresses(settings),
          [this](const peer_address& to, schema::envelope& message) { hub_->send(to, message); }),
      directory_(membership::directory_settings()), entries_(others_silent_after),
      freshness_(milliseconds(settings.stale_after_ms())), strikes_(policy::strike_memory) {}

control_task::~control_task() {
    task_.stop();
}

std::string control_task::open() {
    hub_ = std::make_unique<net::peer_hub>(
        task_,
        net::peer_hub_settings{settings_.name(), peer_address(settings_.peer_address()),
                               peer_address(settings_.peer_bind()), settings_.cluster().secret()},
        [this](schema::envelope& message) { on_message(message); });
    const net::result<void> opened = hub_->open();
    if (!opened)
        return opened.error().text;
    task_.every(tick_interval, [this] { tick(); });
    task_.every(hello_interval, [this] { send_hellos(); });
    task_.every(gossip_interval, [this] { send_gossip(); });
    task_.every(view_interval, [this] { publish_view(); });
    task_.post([this] { send_hellos(); });
    return "";
}

void control_task::start() {
    task_.start();
}
void control_task::stop() {
    task_.stop();
}

void control_task::send_request(schema::keeper_request request, request_options options,
                                net::task& home, keeper_client::reply_callback done) {
    task_.post([this, request = std::move(request), options, &home, done = std::move(done)] {
        keepers_.send_request(
            request, options,
            [&home, done](schema::keeper_reply reply) {
                home.post([done, reply = std::move(reply)] { done(reply); });
            },
            monotonic_now());
    });
}

void control_task::announced(schema::endpoint_record record) {
    task_.post([this, record = std::move(record)] {
        const bool changed = directory_.announced(record, monotonic_now());
        if (!changed)
            return;
        log_info("endpoint_changed")
            .with("endpoint", record.id())
            .with("incarnation", record.incarnation())
            .with("state", record.leaving() ? "leaving" : "serving");
        publish_view();
        send_gossip();
    });
}

void control_task::report_online(std::vector<endpoint_use> uses, std::map<team_id, double> rates) {
    task_.post([this, uses = std::move(uses), rates = std::move(rates)] {
        online_uses_ = uses;
        rates_ = rates;
    });
}

void control_task::report_batch(std::vector<endpoint_use> uses) {
    task_.post([this, uses = std::move(uses)] { batch_uses_ = uses; });
}

void control_task::add_strike(const policy::strike& one) {
    task_.post([this, one] {
        if (!strikes_.add(one))
            return;
        log_warning("request_struck")
            .with("fingerprint", one.request.str())
            .with("endpoint", one.endpoint.str());
        publish_view();
        send_gossip();
    });
}

void control_task::request_yield(const endpoint_id& endpoint, std::uint32_t slots) {
    task_.post([this, endpoint, slots] {
        auto found = directory_.all().find(endpoint);
        if (found == directory_.all().end())
            return;
        const std::vector<const schema::entry_hello*> alive = entries_.alive(monotonic_now());
        const entry_id steward =
            membership::steward_of(endpoint, found->second.record.zone(), alive);
        if (steward.str() == settings_.name()) {
            hooks_.on_yield(endpoint, slots);
            return;
        }
        auto holder =
            std::find_if(alive.begin(), alive.end(), [&steward](const schema::entry_hello* one) {
                return one->entry() == steward.str();
            });
        if (holder == alive.end())
            return;
        schema::envelope envelope;
        envelope.mutable_yield()->set_endpoint(endpoint.str());
        envelope.mutable_yield()->set_slots(slots);
        hub_->send(peer_address((*holder)->peer_address()), envelope);
    });
}

void control_task::set_draining() {
    task_.post([this] {
        draining_ = true;
        entries_.saw(make_hello(), milliseconds(0), monotonic_now());
        publish_view();
        send_hellos();
        send_gossip();
    });
}

void control_task::dump(net::task& home, std::function<void(std::string)> done) {
    task_.post([this, &home, done = std::move(done)] {
        home.post([done, text = dump_text()] { done(text); });
    });
}

void control_task::on_message(schema::envelope& message) {
    switch (message.body_case()) {
    case schema::envelope::kReply:
        keepers_.handle_reply(std::move(*message.mutable_reply()), monotonic_now());
        break;
    case schema::envelope::kBeacon:
        on_beacon(message.beacon());
        break;
    case schema::envelope::kRumor:
        on_gossip(message.rumor());
        break;
    case schema::envelope::kYield:
        on_yield(message.yield());
        break;
    default:
        break;
    }
}

void control_task::on_beacon(const schema::keeper_beacon& beacon) {
    const instant now = monotonic_now();
    // The keeper echoes when the hello was sent, by this process's own clock. A process that was
    // frozen finds old beacons in its sockets; counted as new they would make it trust its lists.
    const microseconds age = now - from_us(beacon.sent_at_us());
    if (beacon.leads_control())
        freshness_.saw(beacon.beacon_term(), beacon.beacon(),
                       std::chrono::duration_cast<milliseconds>(age), now);
    for (const std::uint32_t group : beacon.leads()) {
        keepers_.set_leader(group_id(group), beacon.keeper());
        instant& contact = leader_contacts_[group_id(group)];
        contact = std::max(contact, from_us(beacon.sent_at_us()));
        keeper_clocks_[group_id(group)] = beacon.keeper_clock_us();
    }
    if (beacon.leads_control())
        keepers_.set_leader(group_id(0), beacon.keeper());
    for (const schema::entry_hello& entry : beacon.entries())
        entries_.saw(entry, milliseconds(entry.age_ms()), now);
    if (beacon.has_config())
        take_config(beacon.config());
    std::vector<job_id> cancelled;
    for (const std::string& job : beacon.cancelled_jobs())
        cancelled.emplace_back(job);
    if (!cancelled.empty())
        hooks_.on_cancelled(cancelled);
}

// Versions only grow: whatever reaches this process late or twice, it never goes back.
void control_task::take_config(const schema::change_record& config) {
    if (config.version() <= config_.version())
        return;
    settings::result<std::shared_ptr<const settings::catalog>> parsed = settings::catalog::parse(
        config.version(), "plans", config.plans(), "allowances", config.allowances());
    if (!parsed) {
        log_error("config_unreadable").with("version", config.version());
        return;
    }
    config_ = config;
    catalog_ = parsed.value();
    // Reading 24,000 plans takes 100 MB for a moment, which the allocator would keep for good.
    malloc_trim(0);
    log_info("config_in_force")
        .with("version", config.version())
        .with("change_id", config.change_id());
    publish_view();
    send_hellos();
    send_gossip();
}

void control_task::on_gossip(const schema::gossip& rumor) {
    const instant now = monotonic_now();
    other_entry& other = others_[entry_id(rumor.entry())];
    const bool older = rumor.incarnation() < other.rumor.incarnation() ||
                       (rumor.incarnation() == other.rumor.incarnation() &&
                        rumor.sequence() <= other.rumor.sequence());
    if (older)
        return;
    other.rumor = rumor;
    other.heard = now;
    entries_.saw(rumor.self(), milliseconds(0), now);
    bool changed = false;
    for (const schema::endpoint_record& record : rumor.endpoints())
        changed = directory_.told(record, now) || changed;
    for (const schema::strike_record& one : rumor.strikes())
        changed = strikes_.add({fingerprint(one.fingerprint()), endpoint_id(one.endpoint()),
                                now - milliseconds(one.age_ms())}) ||
                  changed;
    freshness_.saw(rumor.beacon_term(), rumor.beacon(), milliseconds(rumor.beacon_age_ms()), now);
    if (rumor.has_config())
        take_config(rumor.config());
    if (changed)
        publish_view();
}

void control_task::on_yield(const schema::yield_request& yield) {
    hooks_.on_yield(endpoint_id(yield.endpoint()), yield.slots());
}

schema::entry_hello control_task::make_hello() const {
    const instant now = monotonic_now();
    schema::entry_hello hello;
    hello.set_entry(settings_.name());
    hello.set_incarnation(incarnation_);
    hello.set_peer_address(settings_.peer_address());
    hello.set_http_address(settings_.http_address());
    hello.set_zone(settings_.zone());
    hello.set_config_version(config_.version());
    hello.set_draining(draining_);
    hello.set_stale(freshness_.is_stale(now));
    hello.set_sent_at_us(to_us(now));
    return hello;
}

void control_task::send_hellos() {
    schema::envelope envelope;
    *envelope.mutable_hello() = make_hello();
    entries_.saw(envelope.hello(), milliseconds(0), monotonic_now());
    for (const keeper_address& keeper : keeper_addresses(settings_))
        hub_->send(keeper.address, envelope);
}

void control_task::send_gossip() {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::gossip* rumor = envelope.mutable_rumor();
    rumor->set_entry(settings_.name());
    rumor->set_incarnation(incarnation_);
    rumor->set_sequence(++gossip_sequence_);
    *rumor->mutable_self() = make_hello();
    for (schema::endpoint_record& record : directory_.own_records(now))
        *rumor->add_endpoints() = std::move(record);
    for (const policy::strike& one : strikes_.all(now)) {
        schema::strike_record* told = rumor->add_strikes();
        told->set_fingerprint(one.request.str());
        told->set_endpoint(one.endpoint.str());
        told->set_age_ms(static_cast<std::uint32_t>((now - one.at).count() / 1000));
    }
    rumor->set_beacon_term(freshness_.term());
    rumor->set_beacon(freshness_.beacon());
    rumor->set_beacon_age_ms(static_cast<std::uint32_t>(freshness_.age(now).count()));
    rumor->set_config_version(config_.version());
    for (const std::vector<endpoint_use>* uses : {&online_uses_, &batch_uses_}) {
        for (const endpoint_use& one : *uses) {
            schema::endpoint_use* told = rumor->add_uses();
            told->set_endpoint(one.endpoint.str());
            told->set_online(one.online);
            told->set_batch(one.batch);
            told->set_suspects(one.suspects);
        }
    }
    for (const std::pair<const team_id, double>& one : rates_) {
        schema::team_rate* told = rumor->add_rates();
        told->set_team(one.first.str());
        told->set_per_second(one.second);
    }
    for (const schema::entry_hello* peer : entries_.alive(now)) {
        if (peer->entry() == settings_.name())
            continue;
        // The lists go only to a peer that has said it holds older ones.
        rumor->clear_config();
        if (peer->config_version() < config_.version())
            *rumor->mutable_config() = config_;
        hub_->send(peer_address(peer->peer_address()), envelope);
    }
}

void control_task::tick() {
    const instant now = monotonic_now();
    keepers_.tick(now);
    directory_.forget_old(now);
    entries_.forget_old(now);
    strikes_.forget_old(now);
}

} // namespace cassia::entry
