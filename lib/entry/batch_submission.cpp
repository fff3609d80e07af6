// Submission of batch jobs. The caller gets its response only after a majority has stored the job.
// A submission that is interrupted before leaves nothing that is visible to callers.

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
constexpr std::size_t max_items_per_part = 512;
constexpr std::size_t part_size_limit = 256UL * 1024;
constexpr std::size_t max_custom_id_length = 256;
constexpr int max_commit_attempts = 4;
constexpr std::size_t job_id_digits = 32;
constexpr std::string_view services_prefix = "/v1/services/";

struct parsed_item {
    schema::item_body item;
    rejection_code code = rejection_code::bad_request;
    std::string error;
};

struct parsed_items {
    std::vector<schema::item_body> items;
    std::optional<rejection> rejected;
    std::string digest; ///< SHA-256 over the digests of the canonical forms of all lines
};

struct parsed_deadline {
    std::uint64_t unix_ms = 0; ///< 0 for none
    std::string text;          ///< as sent by the caller
    std::string error;
};
} // namespace

static std::string string_member(const boost::json::object& line, const char* name) {
    const boost::json::value* member = line.if_contains(name);
    return member != nullptr && member->is_string() ? std::string(member->as_string())
                                                    : std::string();
}

static bool is_model_allowed(const settings::allowance& allowance,
                             const boost::json::object& body) {
    auto model = allowance.models.find(service_id(string_member(body, "model")));
    if (model == allowance.models.end())
        return false;
    const std::string version = string_member(body, "version");
    const std::string adapter = string_member(body, "adapter");
    const settings::model_allowance& model_rules = model->second;
    return (version.empty() || model_rules.versions.empty() ||
            model_rules.versions.count(version) > 0) &&
           (adapter.empty() || model_rules.adapters.empty() ||
            model_rules.adapters.count(adapter) > 0);
}

static parsed_item parse_line(std::string_view line, const authenticated_caller& caller) {
    parsed_item parsed;
    const json_parse_result json = parse_json(line);
    if (!json.value || !json.value->is_object()) {
        parsed.error = json.value ? "expected an object" : json.error;
        return parsed;
    }
    const boost::json::object& line_object = json.value->as_object();
    parsed.item.set_custom_id(string_member(line_object, "custom_id"));
    parsed.item.set_url(string_member(line_object, "url"));
    const boost::json::value* body = line_object.if_contains("body");
    const bool is_model =
        parsed.item.url() == "/v1/completions" || parsed.item.url() == "/v1/chat/completions";
    const bool is_service =
        parsed.item.url().compare(0, services_prefix.size(), services_prefix) == 0;
    const boost::json::value* repeatable = line_object.if_contains("repeatable");
    if (parsed.item.custom_id().empty() || parsed.item.custom_id().size() > max_custom_id_length)
        parsed.error = "custom_id: expected a string of 1 to 256 characters";
    else if (!is_model && !is_service)
        parsed.error = "url: expected /v1/completions, /v1/chat/completions or /v1/services/…";
    else if (body == nullptr || !body->is_object())
        parsed.error = "body: expected an object";
    else if (repeatable != nullptr && !repeatable->is_bool())
        parsed.error = "repeatable: expected true or false";
    if (!parsed.error.empty())
        return parsed;
    parsed.item.set_body(boost::json::serialize(*body));
    const std::string service_and_path =
        is_service ? parsed.item.url().substr(services_prefix.size()) : "";
    const std::string service_name = is_model
                                         ? string_member(body->as_object(), "model")
                                         : service_and_path.substr(0, service_and_path.find('/'));
    parsed.item.set_service(service_name);
    const bool default_repeatable =
        is_model || caller.catalog->is_repeatable(service_id(service_name), "POST");
    parsed.item.set_repeatable(repeatable != nullptr ? repeatable->as_bool() : default_repeatable);
    const bool allowed = is_model
                             ? is_model_allowed(*caller.plan->allowed, body->as_object())
                             : caller.plan->allowed->services.count(service_id(service_name)) > 0;
    if (service_name.empty()) {
        parsed.error = "body.model: expected a string";
    } else if (!allowed) {
        parsed.code = rejection_code::not_allowed;
        parsed.error = "the plan doesn't allow '" + service_name + "' in this version or adapter";
    }
    return parsed;
}

static parsed_items parse_items(const std::string& body, const authenticated_caller& caller) {
    parsed_items parsed;
    std::set<std::string> custom_ids;
    std::size_t line_number = 0;
    std::size_t offset = 0;
    std::string digests;
    while (offset < body.size()) {
        const std::size_t end = std::min(body.find('\n', offset), body.size());
        std::string_view line(body.data() + offset, end - offset);
        offset = end + 1;
        ++line_number;
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.empty())
            continue;
        parsed_item parsed_line = parse_line(line, caller);
        if (parsed_line.error.empty() && !custom_ids.insert(parsed_line.item.custom_id()).second)
            parsed_line.error = "custom_id: '" + parsed_line.item.custom_id() + "' stands twice";
        if (!parsed_line.error.empty()) {
            parsed.rejected = rejection{parsed_line.code, "line " + std::to_string(line_number) +
                                                              ": " + parsed_line.error};
            return parsed;
        }
        digests += sha256_hex(canonical_body(line));
        parsed.items.push_back(std::move(parsed_line.item));
    }
    if (parsed.items.empty())
        parsed.rejected =
            rejection{rejection_code::bad_request, "expected JSON Lines, an item a line"};
    parsed.digest = sha256_hex(digests);
    return parsed;
}

static parsed_deadline parse_deadline(const net::http_request& request) {
    parsed_deadline deadline;
    deadline.text = request.parameter("deadline");
    if (!deadline.text.empty()) {
        const std::optional<wall_time> parsed_time = parse_rfc3339_time(deadline.text);
        if (parsed_time)
            deadline.unix_ms = to_unix_ms(*parsed_time);
        else
            deadline.error = "deadline: expected an RFC 3339 time";
        return deadline;
    }
    deadline.text = request.header("cassia-deadline");
    if (deadline.text.empty())
        return deadline;
    std::uint64_t remaining_ms = 0;
    const char* end = deadline.text.data() + deadline.text.size();
    const std::from_chars_result parsed = std::from_chars(deadline.text.data(), end, remaining_ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || remaining_ms == 0)
        deadline.error = "Cassia-Deadline: expected milliseconds from now, above 0";
    deadline.unix_ms = to_unix_ms(wall_now()) + remaining_ms;
    return deadline;
}

static std::vector<schema::job_items> split_into_parts(const std::string& job,
                                                       std::vector<schema::item_body> items) {
    std::vector<schema::job_items> parts;
    std::size_t part_bytes = part_size_limit;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const bool full = part_bytes >= part_size_limit ||
                          static_cast<std::size_t>(parts.back().items_size()) >= max_items_per_part;
        if (full) {
            parts.emplace_back();
            parts.back().set_job(job);
            parts.back().set_first(static_cast<std::uint32_t>(i));
            part_bytes = 0;
        }
        part_bytes += items[i].body().size();
        *parts.back().add_items() = std::move(items[i]);
    }
    return parts;
}

void batch_api::submit(exchange_id exchange, const net::http_request& request,
                       const authenticated_caller& caller, const std::string& request_id) {
    parsed_items items = parse_items(request.body, caller);
    const parsed_deadline deadline = parse_deadline(request);
    if (items.rejected) {
        context_.reject(exchange, *items.rejected, request_id);
        return;
    }
    if (!deadline.error.empty()) {
        context_.reject(exchange, {rejection_code::bad_request, deadline.error}, request_id);
        return;
    }
    // The job's id is derived from the request, so that a resend refers to the same job no matter
    // which entry receives it.
    const std::string team = caller.plan->team.str();
    const std::string fingerprint = sha256_hex(team + "\n" + deadline.text + "\n" + items.digest);
    const std::string& key = request.header("idempotency-key");
    const std::string job_hash = key.empty() ? fingerprint : sha256_hex(team + "\nkey\n" + key);
    submission_ptr submission = std::make_shared<pending_submission>();
    submission->exchange = exchange;
    submission->request_id = request_id;
    submission->begin.set_job("job-" + job_hash.substr(0, job_id_digits));
    submission->begin.set_team(team);
    submission->begin.set_fingerprint(fingerprint);
    submission->begin.set_deadline(deadline.unix_ms);
    submission->begin.set_total(static_cast<std::uint32_t>(items.items.size()));
    submission->begin.set_at(to_unix_ms(wall_now()));
    submission->begin.set_retention_ms(caller.plan->retention_ms);
    submission->parts = split_into_parts(submission->begin.job(), std::move(items.items));
    send_begin(submission);
}

void batch_api::send_command(exchange_id exchange, const std::string& request_id, group_id group,
                             const schema::work_command& command, const reply_callback& on_reply) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    *request.mutable_work() = command;
    request_options options;
    options.timeout = milliseconds(10000);
    context_.control.send_request(
        std::move(request), options, context_.task,
        [this, exchange, request_id, on_reply](const schema::keeper_reply& reply) {
            if (reply.result() == schema::keeper_reply::done) {
                on_reply(reply.work());
                return;
            }
            context_.reject(exchange,
                            {rejection_code::no_quorum,
                             "the durable state can't be reached; a resend is the same job",
                             run_state::maybe, default_retry_after},
                            request_id);
        });
}

void batch_api::send_begin(const submission_ptr& submission) {
    submission->next_part = 0;
    schema::work_command command;
    *command.mutable_begin() = submission->begin;
    send_command(submission->exchange, submission->request_id, group_of(submission->begin.job()),
                 command, [this, submission](const schema::work_reply& reply) {
                     if (reply.result() == schema::work_reply::key_reused)
                         context_.reject(
                             submission->exchange,
                             {rejection_code::key_reused, "this key belongs to another submission"},
                             submission->request_id);
                     else if (reply.result() == schema::work_reply::replay)
                         respond_with_job(submission->exchange, submission->request_id, 202,
                                          reply.job());
                     else
                         send_next_part(submission);
                 });
}

void batch_api::send_next_part(const submission_ptr& submission) {
    if (submission->next_part == submission->parts.size()) {
        send_commit(submission);
        return;
    }
    schema::work_command command;
    *command.mutable_items() = submission->parts[submission->next_part++];
    send_command(submission->exchange, submission->request_id, group_of(submission->begin.job()),
                 command,
                 [this, submission](const schema::work_reply&) { send_next_part(submission); });
}

void batch_api::send_commit(const submission_ptr& submission) {
    schema::work_command command;
    command.mutable_commit()->set_job(submission->begin.job());
    command.mutable_commit()->set_at(to_unix_ms(wall_now()));
    send_command(submission->exchange, submission->request_id, group_of(submission->begin.job()),
                 command, [this, submission](const schema::work_reply& reply) {
                     if (reply.result() == schema::work_reply::done) {
                         context_.counters.count("jobs_accepted");
                         respond_with_job(submission->exchange, submission->request_id, 202,
                                          reply.job());
                         return;
                     }
                     // The same job is being submitted through another entry as well, and the parts
                     // of the two submissions were mixed. Start over. The other one may be
                     // accepted.
                     if (++submission->failed_commits < max_commit_attempts) {
                         send_begin(submission);
                         return;
                     }
                     context_.reject(submission->exchange,
                                     {rejection_code::in_progress, "this job is being submitted",
                                      run_state::maybe, default_retry_after},
                                     submission->request_id);
                 });
}

} // namespace cassia::entry
