#include "cassia/gateway/quota_link.h"

#include <utility>

namespace cassia::gateway {

quota_link::quota_link(entry_id self, std::uint64_t incarnation, policy::quota_tolerance tolerance,
                       quota_hooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)), gate_(self_, incarnation, tolerance) {}

void quota_link::set_gateways(const std::vector<policy::fleet_gateway>& others) {
    gate_.set_gateways(others, monotonic_now());
}

void quota_link::set_teams(const teams::team_table& teams) {
    policy::quota_map quotas;
    for (const teams::team& one : teams.all()) {
        if (one.limit.is_limited())
            quotas[one.id] = one.limit;
    }
    gate_.set_quotas(std::move(quotas), monotonic_now());
}

void quota_link::leave() {
    gate_.leave(monotonic_now());
}

policy::quota_decision quota_link::admit(const team_id& team) {
    return gate_.admit(team, monotonic_now());
}

void quota_link::give_back(const policy::quota_grant& grant) {
    gate_.refund(grant, monotonic_now());
}

static schema::envelope to_message(const entry_id& self, const policy::quota_report& report) {
    schema::envelope envelope;
    schema::quota_report* out = envelope.mutable_quota();
    out->set_gateway(self.str());
    out->set_incarnation(report.incarnation);
    out->set_sequence(report.sequence);
    out->set_epoch(report.epoch);
    out->set_shards(report.shards);
    for (const policy::quota_totals& one : report.totals) {
        schema::quota_totals* totals = out->add_totals();
        totals->set_team(one.team.str());
        totals->set_admitted(one.admitted);
        totals->set_returned(one.returned);
    }
    for (const policy::quota_ask& one : report.asks) {
        schema::quota_ask* ask = out->add_asks();
        ask->set_id(one.id);
        ask->set_team(one.team.str());
    }
    return envelope;
}

static schema::envelope to_message(const entry_id& self, const policy::quota_reply& reply) {
    schema::envelope envelope;
    schema::quota_reply* out = envelope.mutable_quota_answer();
    out->set_gateway(self.str());
    out->set_epoch(reply.epoch);
    out->set_sequence(reply.sequence);
    for (const policy::quota_answer& one : reply.answers) {
        schema::quota_answer* answer = out->add_answers();
        answer->set_ask(one.ask);
        answer->set_granted(one.granted);
        answer->set_open(one.open);
        answer->set_next_token_ms(static_cast<std::uint32_t>(one.next_token.count()));
        answer->set_retry_after_ms(static_cast<std::uint32_t>(one.retry_after.count()));
    }
    for (const team_id& one : reply.closed)
        out->add_closed(one.str());
    for (const team_id& one : reply.open)
        out->add_open(one.str());
    return envelope;
}

void quota_link::flush() {
    policy::quota_output out = gate_.poll(monotonic_now());
    for (const std::pair<entry_id, policy::quota_report>& one : out.reports) {
        schema::envelope envelope = to_message(self_, one.second);
        hooks_.send(one.first, envelope);
    }
    for (const std::pair<entry_id, policy::quota_reply>& one : out.replies) {
        schema::envelope envelope = to_message(self_, one.second);
        hooks_.send(one.first, envelope);
    }
    for (const policy::quota_decision& one : out.decisions)
        hooks_.on_decision(one);
}

bool quota_link::receive(const schema::envelope& message) {
    if (message.has_quota())
        on_report(message.quota());
    else if (message.has_quota_answer())
        on_reply(message.quota_answer());
    else
        return false;
    flush();
    return true;
}

void quota_link::on_report(const schema::quota_report& message) {
    policy::quota_report report;
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.epoch = message.epoch();
    report.shards = message.shards();
    for (const schema::quota_totals& one : message.totals())
        report.totals.push_back({team_id(one.team()), one.admitted(), one.returned()});
    for (const schema::quota_ask& one : message.asks())
        report.asks.push_back({one.id(), team_id(one.team())});
    gate_.receive(entry_id(message.gateway()), report, monotonic_now());
}

void quota_link::on_reply(const schema::quota_reply& message) {
    policy::quota_reply reply;
    reply.epoch = message.epoch();
    reply.sequence = message.sequence();
    for (const schema::quota_answer& one : message.answers())
        reply.answers.push_back({one.ask(), one.granted(), one.open(),
                                 milliseconds(one.next_token_ms()),
                                 milliseconds(one.retry_after_ms())});
    for (const std::string& one : message.closed())
        reply.closed.emplace_back(one);
    for (const std::string& one : message.open())
        reply.open.emplace_back(one);
    gate_.receive(entry_id(message.gateway()), reply, monotonic_now());
}

} // namespace cassia::gateway
