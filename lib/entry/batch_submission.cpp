// Submission of batch jobs. A job is answered only once it is durable on a majority; a submission
// that breaks off before leaves nothing that callers could see.

#include "cassia/entry/batch_api.h"

#include "cassia/base/digest.h"
#include "cassia/entry/request_text.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <charconv>
#include <optional>
#include <set>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::size_t part_items = 512;
constexpr std::size_t part_bytes = 256UL * 1024;
constexpr std::size_t longest_custom_id = 256;
constexpr int most_tries = 4;
constexpr std::size_t job_digits = 32;
constexpr std::string_view services_path = "/v1/services/";

struct read_item {
    schema::item_body item;
    refusal_code code = refusal_code::bad_request;
    std::string problem;
};

struct read_items {
    std::vector<schema::item_body> items;
    std::optional<refusal> refused;
    std::string digest; ///< over the canonical form of all items
};

struct read_deadline {
    std::uint64_t at = 0; ///< Unix ms, 0 for none
    std::string text;     ///< as the caller wrote it
    std::string problem;
};
} // namespace

static std::string string_member(const boost::json::object& line, const char* name) {
    const boost::json::value* member = line.if_contains(name);
    return member != nullptr && member->is_string() ? std::string(member->as_string())
                                                    : std::string();
}

static bool model_allowed(const settings::allowance& plan, const boost::json::object& body) {
    auto allowed = plan.models.find(service_id(string_member(body, "model")));
    if (allowed == plan.models.end())
        return false;
    const std::string version = string_member(body, "version");
    const std::string adapter = string_member(body, "adapter");
    const settings::model_allowance& rules = allowed->second;
    return (version.empty() || rules.versions.empty() || rules.versions.count(version) > 0) &&
           (adapter.empty() || rules.adapters.empty() || rules.adapters.count(adapter) > 0);
}

static read_item parse_line(std::string_view line, const caller& from) {
    read_item out;
    const json_parse_result parsed = parse_json(line);
    if (!parsed.value || !parsed.value->is_object()) {
        out.problem = parsed.value ? "expected an object" : parsed.error;
        return out;
    }
    const boost::json::object& object = parsed.value->as_object();
    out.item.set_custom_id(string_member(object, "custom_id"));
    out.item.set_url(string_member(object, "url"));
    const boost::json::value* body = object.if_contains("body");
    const bool model =
        out.item.url() == "/v1/completions" || out.item.url() == "/v1/chat/completions";
    const bool service = out.item.url().compare(0, services_path.size(), services_path) == 0;
    const boost::json::value* repeatable = object.if_contains("repeatable");
    if (out.item.custom_id().empty() || out.item.custom_id().size() > longest_custom_id)
        out.problem = "custom_id: expected a string of 1 to 256 characters";
    else if (!model && !service)
        out.problem = "url: expected /v1/completions, /v1/chat/completions or /v1/services/…";
    else if (body == nullptr || !body->is_object())
        out.problem = "body: expected an object";
    else if (repeatable != nullptr && !repeatable->is_bool())
        out.problem = "repeatable: expected true or false";
    if (!out.problem.empty())
        return out;
    out.item.set_body(boost::json::serialize(*body));
    const std::string rest = service ? out.item.url().substr(services_path.size()) : "";
    const std::string target =
        model ? string_member(body->as_object(), "model") : rest.substr(0, rest.find('/'));
    out.item.set_service(target);
    const bool by_default = model || from.catalog->is_repeatable(service_id(target), "POST");
    out.item.set_repeatable(repeatable != nullptr ? repeatable->as_bool() : by_default);
    const bool allowed = model ? model_allowed(*from.plan->allowed, body->as_object())
                               : from.plan->allowed->services.count(service_id(target)) > 0;
    if (target.empty()) {
        out.problem = "body.model: expected a string";
    } else if (!allowed) {
        out.code = refusal_code::not_allowed;
        out.problem = "the plan doesn't allow '" + target + "' in this version or adapter";
    }
    return out;
}

static read_items parse_items(const std::string& body, const caller& from) {
    read_items out;
    std::set<std::string> custom_ids;
    std::size_t line_number = 0;
    std::size_t at = 0;
    std::string digests;
    while (at < body.size()) {
        const std::size_t end = std::min(body.find('\n', at), body.size());
        std::string_view line(body.data() + at, end - at);
        at = end + 1;
        ++line_number;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty())
            continue;
        read_item one = parse_line(line, from);
        if (one.problem.empty() && !custom_ids.insert(one.item.custom_id()).second)
            one.problem = "custom_id: '" + one.item.custom_id() + "' stands twice";
        if (!one.problem.empty()) {
            out.refused =
                refusal{one.code, "line " + std::to_string(line_number) + ": " + one.problem};
            return out;
        }
        digests += sha256_hex(canonical_body(line));
        out.items.push_back(std::move(one.item));
    }
    if (out.items.empty())
        out.refused = refusal{refusal_code::bad_request, "expected JSON Lines, an item a line"};
    out.digest = sha256_hex(digests);
    return out;
}

static read_deadline parse_deadline(const net::http_request& request) {
    read_deadline out;
    out.text = request.parameter("deadline");
    if (!out.text.empty()) {
        const std::optional<wall_time> time = parse_time(out.text);
        if (time)
            out.at = to_unix_ms(*time);
        else
            out.problem = "deadline: expected an RFC 3339 time";
        return out;
    }
    out.text = request.header("cassia-deadline");
    if (out.text.empty())
        return out;
    std::uint64_t left = 0;
    const char* last = out.text.data() + out.text.size();
    const std::from_chars_result read = std::from_chars(out.text.data(), last, left);
    if (read.ec != std::errc() || read.ptr != last || left == 0)
        out.problem = "Cassia-Deadline: expected milliseconds from now, above 0";
    out.at = to_unix_ms(wall_now()) + left;
    return out;
}

static std::vector<schema::job_items> split(const std::string& job,
                                            std::vector<schema::item_body> items) {
    std::vector<schema::job_items> parts;
    std::size_t bytes = part_bytes;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const bool full = bytes >= part_bytes ||
                          static_cast<std::size_t>(parts.back().items_size()) >= part_items;
        if (full) {
            parts.emplace_back();
            parts.back().set_job(job);
            parts.back().set_first(static_cast<std::uint32_t>(i));
            bytes = 0;
        }
        bytes += items[i].body().size();
        *parts.back().add_items() = std::move(items[i]);
    }
    return parts;
}

void batch_api::submit(exchange_id exchange, const net::http_request& request, const caller& from,
                       const std::string& request_id) {
    read_items items = parse_items(request.body, from);
    const read_deadline deadline = parse_deadline(request);
    if (items.refused) {
        context_.refuse(exchange, *items.refused, request_id);
        return;
    }
    if (!deadline.problem.empty()) {
        context_.refuse(exchange, {refusal_code::bad_request, deadline.problem}, request_id);
        return;
    }
    // The id follows from what was sent, so that a resend names the same job at whichever entry it
    // arrives.
    const std::string team = from.plan->team.str();
    const std::string print = sha256_hex(team + "\n" + deadline.text + "\n" + items.digest);
    const std::string& key = request.header("idempotency-key");
    const std::string named = key.empty() ? print : sha256_hex(team + "\nkey\n" + key);
    submission_pointer one = std::make_shared<submission>();
    one->exchange = exchange;
    one->request_id = request_id;
    one->begin.set_job("job-" + named.substr(0, job_digits));
    one->begin.set_team(team);
    one->begin.set_fingerprint(print);
    one->begin.set_deadline(deadline.at);
    one->begin.set_total(static_cast<std::uint32_t>(items.items.size()));
    one->begin.set_at(to_unix_ms(wall_now()));
    one->begin.set_retention_ms(from.plan->retention_ms);
    one->parts = split(one->begin.job(), std::move(items.items));
    send_begin(one);
}

void batch_api::ask_work(exchange_id exchange, const std::string& request_id, group_id group,
                         const schema::work_command& command, const work_handler& done) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    *request.mutable_work() = command;
    request_options options;
    options.timeout = milliseconds(10000);
    context_.control.send_request(
        std::move(request), options, context_.task,
        [this, exchange, request_id, done](const schema::keeper_reply& reply) {
            if (reply.result() == schema::keeper_reply::done) {
                done(reply.work());
                return;
            }
            context_.refuse(exchange,
                            {refusal_code::no_quorum,
                             "the durable state can't be reached; a resend is the same job",
                             run_state::maybe, come_back_soon},
                            request_id);
        });
}

void batch_api::send_begin(const submission_pointer& one) {
    one->next_part = 0;
    schema::work_command command;
    *command.mutable_begin() = one->begin;
    ask_work(one->exchange, one->request_id, group_of(one->begin.job()), command,
             [this, one](const schema::work_reply& reply) {
                 if (reply.result() == schema::work_reply::key_reused)
                     context_.refuse(
                         one->exchange,
                         {refusal_code::key_reused, "this key belongs to another submission"},
                         one->request_id);
                 else if (reply.result() == schema::work_reply::replay)
                     answer_job(one->exchange, one->request_id, 202, reply.job());
                 else
                     send_next_part(one);
             });
}

void batch_api::send_next_part(const submission_pointer& one) {
    if (one->next_part == one->parts.size()) {
        send_commit(one);
        return;
    }
    schema::work_command command;
    *command.mutable_items() = one->parts[one->next_part++];
    ask_work(one->exchange, one->request_id, group_of(one->begin.job()), command,
             [this, one](const schema::work_reply&) { send_next_part(one); });
}

void batch_api::send_commit(const submission_pointer& one) {
    schema::work_command command;
    command.mutable_commit()->set_job(one->begin.job());
    command.mutable_commit()->set_at(to_unix_ms(wall_now()));
    ask_work(one->exchange, one->request_id, group_of(one->begin.job()), command,
             [this, one](const schema::work_reply& reply) {
                 if (reply.result() == schema::work_reply::done) {
                     context_.counters.count("jobs_accepted");
                     answer_job(one->exchange, one->request_id, 202, reply.job());
                     return;
                 }
                 // The same job was sent through two entries at once and their parts mixed.
                 if (++one->tries < most_tries) {
                     send_begin(one);
                     return;
                 }
                 context_.refuse(one->exchange,
                                 {refusal_code::in_progress, "this job is being submitted",
                                  run_state::no, come_back_soon},
                                 one->request_id);
             });
}

} // namespace cassia::entry
