// Requests as they come in: parsing, bodies that are refused, time limits.

#include "raw_server_state.h"

#include "cassia/base/log.h"

#include <utility>
#include <vector>

namespace cassia::net {

namespace {
constexpr int status_bad_request = 400;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_request_timeout = 408;
constexpr int status_unavailable = 503;
// Larger buffers are given back as soon as they are empty.
constexpr std::size_t max_kept_buffer = 4UL * 1024;
// A body of 4 MB takes 1.1 s at 30 Mbit/s.
constexpr milliseconds discard_time(3000);
// Heartbeats and questions are smaller: large bodies of some callers don't keep them out.
constexpr std::uint64_t small_body = 64UL * 1024;
constexpr std::string_view retry_after_s = "1";
// A caller that reads has its next answer made while the one before is on its way.
constexpr std::size_t max_unread_answers = 256UL * 1024;
} // namespace

static http_fields fields_of(const request_parser& parser) {
    http_fields fields;
    for (const request_parser::value_type::value_type& field : parser.get())
        fields.add({field.name_string().data(), field.name_string().size()},
                   {field.value().data(), field.value().size()});
    return fields;
}

static raw_request take_request(request_parser& parser) {
    request_parser::value_type& message = parser.get();
    raw_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = fields_of(parser);
    request.body = std::move(message.body());
    return request;
}

void raw_server::state::on_bytes(connection_id id, std::string_view bytes) {
    auto found = callers.find(id);
    if (found == callers.end())
        return;
    if (found->second.discards_until) {
        discard(id, found->second, bytes.size());
        return;
    }
    found->second.unread.append(bytes);
    if (found->second.exchange == exchange_id()) {
        parse(id);
        return;
    }
    // Further requests stay in the socket until the one being served is over.
    if (found->second.unread.size() > limits.header_bytes)
        sockets->pause_reading(id);
}

static bool problem_ends(const boost::system::error_code& problem) {
    return problem && problem != http::error::need_more;
}

bool raw_server::state::admit_body(connection_id id, caller& one) {
    // Without flow control nothing is reserved: a stated length that doesn't come keeps nobody out.
    const bool reserves = flow && one.parser->content_length();
    const std::uint64_t bytes =
        reserves ? *one.parser->content_length() : one.parser->get().body().size();
    if (bytes <= one.body)
        return true;
    std::optional<http_fields> refusal = flow ? flow->refuse_body(id, fields_of(*one.parser), bytes)
                                              : refusal_without_flow(one, bytes);
    if (refusal)
        refuse_body(id, one, std::move(*refusal));
    else
        one.body = bytes;
    return !refusal;
}

std::optional<http_fields> raw_server::state::refusal_without_flow(const caller& one,
                                                                   std::uint64_t bytes) const {
    if (bytes <= small_body)
        return std::nullopt;
    std::uint64_t others = 0;
    for (const std::pair<const connection_id, caller>& each : callers)
        others += each.second.body;
    others -= one.body;
    if (others == 0 || others + bytes <= limits.all_bodies_bytes)
        return std::nullopt;
    log_info("body_refused").with("bytes", bytes).with("held", others);
    http_fields fields;
    fields.add("Retry-After", retry_after_s);
    return fields;
}

// A connection that is closed with unread bytes is reset, which may destroy the answer before the
// caller reads it. So the rest of the body is read for a while.
void raw_server::state::refuse_body(connection_id id, caller& one, http_fields fields) {
    raw_head head;
    head.status = status_unavailable;
    head.fields = std::move(fields);
    head.framing = body_framing::length;
    one.parser.reset();
    one.unread = std::string();
    one.discards_until = monotonic_now() + discard_time;
    sockets->write(id, to_bytes(head, true));
    sockets->finish_writing(id);
    release_body(id, one);
}

void raw_server::state::discard(connection_id id, caller& one, std::size_t bytes) {
    one.discarded += bytes;
    if (one.discarded <= limits.body_bytes)
        return;
    callers.erase(id);
    sockets->reset(id);
}

void raw_server::state::release_body(connection_id id, caller& one) {
    if (std::exchange(one.body, 0) > 0 && flow)
        flow->on_released(id);
}

bool raw_server::state::awaits_reader(connection_id id, const caller& one) const {
    return one.exchange == exchange_id() && !one.request_began && !one.unread.empty() &&
           sockets->unsent(id) > max_unread_answers;
}

void raw_server::state::on_drained(connection_id id) {
    auto found = callers.find(id);
    if (found != callers.end() && found->second.exchange == exchange_id() &&
        !found->second.discards_until && !awaits_reader(id, found->second)) {
        sockets->resume_reading(id);
        parse(id);
    }
    if (flow)
        flow->on_released(id);
}

void raw_server::state::parse(connection_id id) {
    caller& one = callers.at(id);
    if (one.unread.empty())
        return;
    if (awaits_reader(id, one)) {
        sockets->pause_reading(id);
        return;
    }
    if (!one.parser) {
        one.parser = std::make_unique<request_parser>();
        one.parser->eager(true);
        one.parser->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        one.parser->body_limit(limits.body_bytes);
    }
    if (!one.request_began) {
        one.request_began = true;
        one.since = monotonic_now();
    }
    boost::system::error_code problem;
    while (!one.unread.empty() && !one.parser->is_done()) {
        const std::size_t used =
            one.parser->put(boost::asio::buffer(one.unread.data(), one.unread.size()), problem);
        one.unread.erase(0, used);
        if (one.unread.empty() && one.unread.capacity() > max_kept_buffer)
            one.unread = std::string();
        if (one.parser->is_header_done() && !problem_ends(problem) && !admit_body(id, one))
            return;
        // The parser leaves a chunk's header unread until it is whole.
        if (problem == http::error::need_more && one.unread.size() > limits.header_bytes)
            return refuse(id, status_bad_request, "chunk header too long");
        if (problem == http::error::need_more)
            return;
        if (problem == http::error::header_limit)
            return refuse(id, status_header_too_large, problem.message());
        if (problem == http::error::body_limit)
            return refuse(id, status_too_large, problem.message());
        if (problem)
            return refuse(id, status_bad_request, problem.message());
    }
    if (one.parser->is_done())
        hand_over(id, one);
}

void raw_server::state::hand_over(connection_id id, caller& one) {
    one.exchange = exchange_id(++last_exchange);
    one.keep_alive = one.parser->keep_alive();
    one.began = false;
    one.request_began = false;
    exchanges[one.exchange] = id;
    raw_request request = take_request(*one.parser);
    one.parser.reset();
    hooks.on_request(one.exchange, std::move(request));
}

void raw_server::state::refuse(connection_id id, int status, const std::string& cause) {
    raw_head head;
    head.status = status;
    head.framing = body_framing::length;
    sockets->write(id, to_bytes(head, true));
    sockets->close(id);
    callers.erase(id);
    if (flow)
        flow->on_released(id);
    log_info("request_unreadable").with("status", status).with("cause", cause);
}

void raw_server::state::on_closed(connection_id id, bool) {
    auto found = callers.find(id);
    if (found == callers.end())
        return;
    const exchange_id exchange = found->second.exchange;
    callers.erase(found);
    if (exchange != exchange_id()) {
        exchanges.erase(exchange);
        hooks.on_gone(exchange);
    }
    if (flow)
        flow->on_released(id);
}

void raw_server::state::sweep() {
    const instant now = monotonic_now();
    std::vector<connection_id> idle;
    std::vector<connection_id> slow;
    const milliseconds patience = winding_down ? idle_grace : limits.idle_timeout;
    for (const std::pair<const connection_id, caller>& one : callers) {
        if (one.second.exchange != exchange_id())
            continue;
        if (one.second.discards_until) {
            if (now >= *one.second.discards_until)
                idle.push_back(one.first);
            continue;
        }
        if (awaits_reader(one.first, one.second))
            continue;
        const microseconds waited = now - one.second.since;
        const milliseconds limit = one.second.request_began ? limits.header_timeout : patience;
        // What has arrived is read first: this process may have been suspended meanwhile.
        if (waited <= limit || sockets->has_unread(one.first))
            continue;
        (one.second.request_began ? slow : idle).push_back(one.first);
    }
    for (const connection_id id : idle) {
        callers.erase(id);
        sockets->close(id);
    }
    for (const connection_id id : slow)
        refuse(id, status_request_timeout, "header didn't come in time");
}

} // namespace cassia::net
