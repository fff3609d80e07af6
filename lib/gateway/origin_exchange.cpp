#include "cassia/gateway/origin_exchange.h"

#include "cassia/net/task.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cassia::gateway {

namespace {
// Gathers the streams that begin within this time into one message to each receiver. What has not
// been sent is lost with this gateway.
constexpr milliseconds flush_delay(5);
} // namespace

static void encode(const policy::stream_origin& origin, schema::stream_origin& out) {
    out.set_stream(origin.stream.str());
    out.mutable_began_by()->set_service(origin.began_by.service.str());
    out.mutable_began_by()->set_version(origin.began_by.version.str());
    const std::int64_t left = std::chrono::duration_cast<milliseconds>(origin.left).count();
    out.set_left_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0)));
}

static policy::stream_origin decode(const schema::stream_origin& origin) {
    return {
        stream_key(origin.stream()),
        {service_id(origin.began_by().service()), software_version(origin.began_by().version())},
        milliseconds(origin.left_ms())};
}

static schema::stream_origin_news encode(const policy::stream_origin_message& message) {
    schema::stream_origin_news news;
    for (const policy::stream_origin& origin : message.origins)
        encode(origin, *news.add_origins());
    for (const std::pair<lookup_id, stream_key>& query : message.queries) {
        schema::stream_origin_query* encoded = news.add_queries();
        encoded->set_id(query.first.value());
        encoded->set_stream(query.second.str());
    }
    for (const std::pair<lookup_id, std::optional<policy::stream_origin>>& answer :
         message.answers) {
        schema::stream_origin_answer* encoded = news.add_answers();
        encoded->set_id(answer.first.value());
        encoded->set_known(answer.second.has_value());
        if (answer.second)
            encode(*answer.second, *encoded->mutable_origin());
    }
    return news;
}

static policy::stream_origin_message decode(const schema::stream_origin_news& news) {
    policy::stream_origin_message message;
    for (const schema::stream_origin& origin : news.origins())
        message.origins.push_back(decode(origin));
    for (const schema::stream_origin_query& query : news.queries())
        message.queries.emplace_back(lookup_id(query.id()), stream_key(query.stream()));
    for (const schema::stream_origin_answer& answer : news.answers()) {
        std::optional<policy::stream_origin> origin;
        if (answer.known())
            origin = decode(answer.origin());
        message.answers.emplace_back(lookup_id(answer.id()), origin);
    }
    return message;
}

origin_exchange::origin_exchange(net::task& owner, entry_id self, zone_id zone, metrics& counts,
                                 origin_exchange_hooks hooks)
    : owner_(owner), self_(self), metrics_(counts), hooks_(std::move(hooks)),
      origins_(std::move(self), std::move(zone)) {}

void origin_exchange::set_gateways(const std::vector<policy::fleet_gateway>& others) {
    origins_.set_gateways(others);
}

void origin_exchange::record(const stream_key& stream, const policy::software& began_by,
                             microseconds left) {
    origins_.record({stream, began_by, left}, monotonic_now());
    metrics_.count("stream_origins_recorded");
    if (!std::exchange(flush_pending_, true))
        owner_.after(flush_delay, [this] { flush(); });
}

lookup_id origin_exchange::look_up(const stream_key& stream) {
    const lookup_id lookup = origins_.look_up(stream, monotonic_now());
    owner_.after(milliseconds(0), [this] { flush(); });
    return lookup;
}

void origin_exchange::receive(const schema::stream_origin_news& news) {
    origins_.receive(entry_id(news.gateway()), decode(news), monotonic_now());
    if (news.queries_size() > 0 || news.answers_size() > 0)
        flush();
}

void origin_exchange::flush() {
    flush_pending_ = false;
    for (const std::pair<const entry_id, policy::stream_origin_message>& message :
         origins_.take_messages()) {
        schema::envelope envelope;
        *envelope.mutable_origins() = encode(message.second);
        envelope.mutable_origins()->set_gateway(self_.str());
        if (!hooks_.send(message.first, envelope))
            origins_.on_unreachable(message.first);
    }
    for (const policy::stream_origin_decision& decision : origins_.take_decisions())
        hooks_.on_decision(decision);
}

void origin_exchange::tick() {
    origins_.expire(monotonic_now());
    flush();
}

} // namespace cassia::gateway
