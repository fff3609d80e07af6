#include "cassia/entry/control_task.h"

#include "cassia/base/log.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace cassia::entry {

namespace {
constexpr milliseconds tick_interval(50);
constexpr milliseconds heartbeat_interval(400);
constexpr milliseconds gossip_interval(200);
constexpr milliseconds view_interval(100);
} // namespace

static std::vector<keeper_address> keeper_addresses(const schema::entry_settings& settings) {
    std::vector<keeper_address> addresses;
    for (const schema::peer_settings& keeper : settings.cluster().keeper())
        addresses.push_back({keeper.name(), peer_address(keeper.address())});
    return addresses;
}

control_task::control_task(const schema::entry_settings& settings, control_task_hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)), incarnation_(to_unix_ms(wall_now())),
      holder_(settings.name() + "/" + std::to_string(incarnation_)), task_("control"),
      keepers_(
          keeper_addresses(settings),
          [this](const peer_address& to, schema::envelope& message) { hub_->send(to, message); }),
      directory_(membership::endpoint_directory_settings()), entries_(peer_timeout),
      freshness_(milliseconds(settings.stale_after_ms())), strikes_(policy::strike_retention) {}

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
    task_.every(heartbeat_interval, [this] { send_heartbeats(); });
    task_.every(gossip_interval, [this] { send_gossip(); });
    task_.every(view_interval, [this] { publish_view(); });
    task_.post([this] { send_heartbeats(); });
    return "";
}

void control_task::start() {
    task_.start();
}
void control_task::stop() {
    task_.stop();
}

void control_task::send_request(schema::keeper_request request, request_options options,
                                net::task& reply_task, keeper_client::reply_callback on_reply) {
    task_.post([this, request = std::move(request), options = std::move(options), &reply_task,
                on_reply = std::move(on_reply)] {
        keepers_.send_request(
            request, options,
            [&reply_task, on_reply](schema::keeper_reply reply) {
                reply_task.post([on_reply, reply = std::move(reply)] { on_reply(reply); });
            },
            monotonic_now());
    });
}

void control_task::record_announcement(schema::endpoint_record record) {
    task_.post([this, record = std::move(record)] {
        const bool changed = directory_.merge_announcement(record, monotonic_now());
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

void control_task::add_strike(const policy::strike& strike) {
    task_.post([this, strike] {
        if (!strikes_.add(strike))
            return;
        log_warning("request_struck")
            .with("fingerprint", strike.request.str())
            .with("endpoint", strike.endpoint.str());
        publish_view();
        send_gossip();
    });
}

void control_task::request_yield(const endpoint_id& endpoint, std::uint32_t slots) {
    task_.post([this, endpoint, slots] {
        auto found = directory_.all().find(endpoint);
        if (found == directory_.all().end())
            return;
        const std::vector<const schema::entry_hello*> live_entries =
            entries_.alive(monotonic_now());
        const entry_id owner =
            membership::steward_of(endpoint, found->second.record.zone(), live_entries);
        if (owner.str() == settings_.name()) {
            hooks_.on_yield(endpoint, slots);
            return;
        }
        auto owner_heartbeat = std::find_if(
            live_entries.begin(), live_entries.end(),
            [&owner](const schema::entry_hello* entry) { return entry->entry() == owner.str(); });
        if (owner_heartbeat == live_entries.end())
            return;
        schema::envelope envelope;
        envelope.mutable_yield()->set_endpoint(endpoint.str());
        envelope.mutable_yield()->set_slots(slots);
        hub_->send(peer_address((*owner_heartbeat)->peer_address()), envelope);
    });
}

void control_task::set_draining() {
    task_.post([this] {
        draining_ = true;
        entries_.observe(make_heartbeat(), milliseconds(0), monotonic_now());
        publish_view();
        send_heartbeats();
        send_gossip();
    });
}

void control_task::dump(net::task& reply_task, std::function<void(std::string)> on_dump) {
    task_.post([this, &reply_task, on_dump = std::move(on_dump)] {
        reply_task.post([on_dump, json = dump_json()] { on_dump(json); });
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
    // The keeper echoes the time at which this entry sent its heartbeat, by this process's own
    // clock. A process that resumes after a freeze finds old beacons in its socket buffers;
    // treating them as new would make it consider an outdated configuration current.
    const milliseconds age = std::max(
        std::chrono::ceil<milliseconds>(now - from_us(beacon.sent_at_us())), milliseconds(0));
    if (beacon.leads_control())
        freshness_.observe(beacon.beacon_term(), beacon.beacon(), age, now);
    for (const std::uint32_t group : beacon.leads()) {
        keepers_.set_leader(group_id(group), beacon.keeper());
        instant& last_heard = leader_last_heard_[group_id(group)];
        last_heard = std::max(last_heard, from_us(beacon.sent_at_us()));
        leader_clocks_[group_id(group)] = beacon.keeper_clock_us();
    }
    if (beacon.leads_control())
        keepers_.set_leader(group_id(0), beacon.keeper());
    for (const schema::entry_hello& entry : beacon.entries())
        entries_.observe(entry, milliseconds(entry.age_ms()) + age, now);
    if (beacon.has_config())
        apply_config(beacon.config());
    std::vector<job_id> cancelled;
    for (const std::string& job : beacon.cancelled_jobs())
        cancelled.emplace_back(job);
    if (!cancelled.empty())
        hooks_.on_jobs_cancelled(cancelled);
}

// Versions only increase, so a late or duplicate message never restores an older configuration.
void control_task::apply_config(const schema::change_record& config) {
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
    // Parsing 24,000 plans temporarily takes 100 MB, which the allocator would otherwise never
    // return to the system.
    malloc_trim(0);
    log_info("config_in_force")
        .with("version", config.version())
        .with("change_id", config.change_id());
    publish_view();
    send_heartbeats();
    send_gossip();
}

static std::optional<microseconds> max_age_of(const schema::gossip& gossip,
                                              std::uint64_t incarnation, instant now) {
    const membership::send_time_echo echo{
        gossip.echo_incarnation(), from_us(gossip.echo_sent_at_us()),
        microseconds(static_cast<std::int64_t>(gossip.echo_held_us()))};
    return membership::max_message_age(echo, incarnation, now);
}

void control_task::on_gossip(const schema::gossip& gossip) {
    const instant now = monotonic_now();
    peer_entry& peer = peers_[entry_id(gossip.entry())];
    const bool outdated = gossip.incarnation() < peer.last_gossip.incarnation() ||
                          (gossip.incarnation() == peer.last_gossip.incarnation() &&
                           gossip.sequence() <= peer.last_gossip.sequence());
    if (outdated)
        return;
    // Ages in the message are those at the time at which it was sent.
    const std::optional<microseconds> max_age = max_age_of(gossip, incarnation_, now);
    const instant sent_at = now - max_age.value_or(microseconds(0));
    peer.last_gossip = gossip;
    peer.received_at = now;
    peer.last_heard = sent_at;
    entries_.observe(gossip.self(), milliseconds(0), sent_at);
    bool changed = false;
    for (const schema::endpoint_record& record : gossip.endpoints())
        changed = directory_.merge_remote(record, sent_at) || changed;
    for (const schema::strike_record& strike : gossip.strikes())
        changed = strikes_.add({fingerprint(strike.fingerprint()), endpoint_id(strike.endpoint()),
                                sent_at - milliseconds(strike.age_ms())}) ||
                  changed;
    // A quorum proof in a message of unknown age may be from before a change.
    if (max_age)
        freshness_.observe(gossip.beacon_term(), gossip.beacon(),
                           milliseconds(gossip.beacon_age_ms()), sent_at);
    if (gossip.has_config())
        apply_config(gossip.config());
    if (changed)
        publish_view();
}

void control_task::on_yield(const schema::yield_request& yield) {
    hooks_.on_yield(endpoint_id(yield.endpoint()), yield.slots());
}

schema::entry_hello control_task::make_heartbeat() const {
    const instant now = monotonic_now();
    schema::entry_hello heartbeat;
    heartbeat.set_entry(settings_.name());
    heartbeat.set_incarnation(incarnation_);
    heartbeat.set_peer_address(settings_.peer_address());
    heartbeat.set_http_address(settings_.http_address());
    heartbeat.set_zone(settings_.zone());
    heartbeat.set_config_version(config_.version());
    heartbeat.set_draining(draining_);
    heartbeat.set_stale(freshness_.is_stale(now));
    heartbeat.set_sent_at_us(to_us(now));
    return heartbeat;
}

void control_task::send_heartbeats() {
    schema::envelope envelope;
    *envelope.mutable_hello() = make_heartbeat();
    entries_.observe(envelope.hello(), milliseconds(0), monotonic_now());
    for (const keeper_address& keeper : keeper_addresses(settings_))
        hub_->send(keeper.address, envelope);
}

void control_task::send_gossip() {
    const instant now = monotonic_now();
    schema::envelope envelope;
    schema::gossip* gossip = envelope.mutable_rumor();
    gossip->set_entry(settings_.name());
    gossip->set_incarnation(incarnation_);
    gossip->set_sequence(++gossip_sequence_);
    *gossip->mutable_self() = make_heartbeat();
    for (schema::endpoint_record& record : directory_.directly_heard_records(now))
        *gossip->add_endpoints() = std::move(record);
    for (const policy::strike& strike : strikes_.active(now)) {
        schema::strike_record* record = gossip->add_strikes();
        record->set_fingerprint(strike.request.str());
        record->set_endpoint(strike.endpoint.str());
        record->set_age_ms(static_cast<std::uint32_t>((now - strike.at).count() / 1000));
    }
    gossip->set_beacon_term(freshness_.term());
    gossip->set_beacon(freshness_.beacon());
    gossip->set_beacon_age_ms(static_cast<std::uint32_t>(freshness_.age(now).count()));
    gossip->set_config_version(config_.version());
    for (const std::vector<endpoint_use>* uses : {&online_uses_, &batch_uses_}) {
        for (const endpoint_use& use : *uses) {
            schema::endpoint_use* use_record = gossip->add_uses();
            use_record->set_endpoint(use.endpoint.str());
            use_record->set_online(use.online);
            use_record->set_batch(use.batch);
            use_record->set_suspects(use.suspects);
        }
    }
    for (const std::pair<const team_id, double>& rate : rates_) {
        schema::team_rate* rate_record = gossip->add_rates();
        rate_record->set_team(rate.first.str());
        rate_record->set_per_second(rate.second);
    }
    for (const schema::entry_hello* peer : entries_.alive(now)) {
        if (peer->entry() == settings_.name())
            continue;
        // The configuration is sent only to peers that reported an older version.
        gossip->clear_config();
        if (peer->config_version() < config_.version())
            *gossip->mutable_config() = config_;
        write_echo(entry_id(peer->entry()), now, *gossip);
        hub_->send(peer_address(peer->peer_address()), envelope);
    }
}

void control_task::write_echo(const entry_id& receiver, instant now, schema::gossip& gossip) const {
    auto peer = peers_.find(receiver);
    if (peer == peers_.end()) {
        gossip.clear_echo_incarnation();
        return;
    }
    gossip.set_echo_incarnation(peer->second.last_gossip.incarnation());
    gossip.set_echo_sent_at_us(peer->second.last_gossip.self().sent_at_us());
    gossip.set_echo_held_us(static_cast<std::uint64_t>((now - peer->second.received_at).count()));
}

void control_task::tick() {
    const instant now = monotonic_now();
    keepers_.tick(now);
    directory_.forget_old(now);
    entries_.forget_old(now);
    strikes_.remove_expired(now);
}

} // namespace cassia::entry
