#include "cassia/gateway/quota_coordinator.h"

#include <utility>

namespace cassia::gateway {

quota_coordinator::quota_coordinator(entry_id self, std::uint64_t incarnation,
                                     policy::quota_tolerance tolerance, quota_hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), gate_(self_, incarnation, tolerance) {}

void quota_coordinator::set_gateways(const std::vector<policy::fleet_gateway>& others) {
    gate_.set_gateways(others, monotonic_now());
}

void quota_coordinator::set_teams(const teams::team_table& teams) {
    policy::quota_map quotas;
    for (const teams::team& team : teams.all()) {
        if (team.limit.is_limited())
            quotas[team.id] = team.limit;
    }
    gate_.set_quotas(std::move(quotas), monotonic_now());
}

void quota_coordinator::leave() {
    gate_.leave(monotonic_now());
}

policy::quota_decision quota_coordinator::admit(const team_id& team) {
    return gate_.admit(team, monotonic_now());
}

void quota_coordinator::refund(const policy::quota_grant& grant) {
    gate_.refund(grant, monotonic_now());
}

static schema::envelope encode(const entry_id& self, const policy::quota_report& report) {
    schema::envelope envelope;
    schema::quota_report* encoded = envelope.mutable_quota();
    encoded->set_gateway(self.str());
    encoded->set_incarnation(report.incarnation);
    encoded->set_sequence(report.sequence);
    encoded->set_epoch(report.epoch);
    encoded->set_shards(report.shards);
    for (const policy::quota_totals& source : report.totals) {
        schema::quota_totals* totals = encoded->add_totals();
        totals->set_team(source.team.str());
        totals->set_admitted(source.admitted);
        totals->set_returned(source.returned);
    }
    for (const policy::quota_ask& source : report.asks) {
        schema::quota_ask* ask = encoded->add_asks();
        ask->set_id(source.id);
        ask->set_team(source.team.str());
    }
    return envelope;
}

static schema::envelope encode(const entry_id& self, const policy::quota_reply& reply) {
    schema::envelope envelope;
    schema::quota_reply* encoded = envelope.mutable_quota_answer();
    encoded->set_gateway(self.str());
    encoded->set_epoch(reply.epoch);
    encoded->set_sequence(reply.sequence);
    for (const policy::quota_answer& source : reply.answers) {
        schema::quota_answer* answer = encoded->add_answers();
        answer->set_ask(source.ask);
        answer->set_granted(source.granted);
        answer->set_open(source.open);
        answer->set_next_token_ms(static_cast<std::uint32_t>(source.next_token.count()));
        answer->set_retry_after_ms(static_cast<std::uint32_t>(source.retry_after.count()));
    }
    for (const team_id& team : reply.closed)
        encoded->add_closed(team.str());
    for (const team_id& team : reply.open)
        encoded->add_open(team.str());
    return envelope;
}

void quota_coordinator::flush() {
    policy::quota_output output = gate_.poll(monotonic_now());
    for (const std::pair<entry_id, policy::quota_report>& report : output.reports) {
        schema::envelope envelope = encode(self_, report.second);
        hooks_.send(report.first, envelope);
    }
    for (const std::pair<entry_id, policy::quota_reply>& reply : output.replies) {
        schema::envelope envelope = encode(self_, reply.second);
        hooks_.send(reply.first, envelope);
    }
    for (const policy::quota_decision& decision : output.decisions)
        hooks_.on_quota_decision(decision);
}

bool quota_coordinator::receive(const schema::envelope& message) {
    if (message.has_quota())
        on_report(message.quota());
    else if (message.has_quota_answer())
        on_reply(message.quota_answer());
    else
        return false;
    flush();
    return true;
}

void quota_coordinator::on_report(const schema::quota_report& message) {
    policy::quota_report report;
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.epoch = message.epoch();
    report.shards = message.shards();
    for (const schema::quota_totals& source : message.totals())
        report.totals.push_back({team_id(source.team()), source.admitted(), source.returned()});
    for (const schema::quota_ask& source : message.asks())
        report.asks.push_back({source.id(), team_id(source.team())});
    gate_.receive(entry_id(message.gateway()), report, monotonic_now());
}

void quota_coordinator::on_reply(const schema::quota_reply& message) {
    policy::quota_reply reply;
    reply.epoch = message.epoch();
    reply.sequence = message.sequence();
    for (const schema::quota_answer& source : message.answers())
        reply.answers.push_back({source.ask(), source.granted(), source.open(),
                                 milliseconds(source.next_token_ms()),
                                 milliseconds(source.retry_after_ms())});
    for (const std::string& team : message.closed())
        reply.closed.emplace_back(team);
    for (const std::string& team : message.open())
        reply.open.emplace_back(team);
    gate_.receive(entry_id(message.gateway()), reply, monotonic_now());
}

} // namespace cassia::gateway
