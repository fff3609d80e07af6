#include "cassia/entry/batch_api.h"

#include "cassia/entry/request_text.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::uint32_t results_per_page = 1000;
constexpr std::string_view jobs_prefix = "/v1/batches/";
} // namespace

group_id batch_api::group_of(const std::string& job) const {
    return state::group_of_job(job_id(job), context_.settings.cluster().work_groups());
}

static boost::json::object job_json(const schema::job_view& job) {
    boost::json::object json;
    json["id"] = job.job();
    json["status"] = job.status();
    json["counts"] = {
        {"total", job.counts().total()},         {"completed", job.counts().completed()},
        {"failed", job.counts().failed()},       {"unknown", job.counts().unknown()},
        {"cancelled", job.counts().cancelled()}, {"running", job.counts().running()}};
    if (job.deadline() == 0)
        json["deadline"] = nullptr;
    else
        json["deadline"] = format_rfc3339_time(from_unix_ms(job.deadline()));
    json["created"] = format_rfc3339_time(from_unix_ms(job.created()));
    return json;
}

static const char* item_status_name(schema::item_status status) {
    switch (status) {
    case schema::completed:
        return "completed";
    case schema::failed:
        return "failed";
    case schema::unknown:
        return "unknown";
    case schema::cancelled:
        return "cancelled";
    case schema::leased:
        return "running";
    default:
        return "queued";
    }
}

static boost::json::object item_json(const schema::item_result& item) {
    boost::json::object json;
    json["custom_id"] = item.custom_id();
    json["status"] = item_status_name(item.status());
    json["attempts"] = item.attempts();
    if (item.http_status() == 0)
        return json;
    const json_parse_result body = parse_json(item.body());
    json["response"] = {{"status_code", item.http_status()},
                        {"body", body.value ? *body.value : boost::json::value(item.body())}};
    return json;
}

void batch_api::respond_with_job(exchange_id exchange, const std::string& request_id, int status,
                                 const schema::job_view& job) {
    net::http_response response;
    response.status = status;
    response.headers["Cassia-Request-Id"] = request_id;
    response.body = boost::json::serialize(job_json(job));
    context_.server->respond(exchange, response);
}

void batch_api::send_query(exchange_id exchange, const std::string& request_id, group_id group,
                           const schema::work_query& query, const reply_callback& on_reply) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    *request.mutable_query() = query;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange, request_id, on_reply](const schema::keeper_reply& reply) {
            if (reply.result() != schema::keeper_reply::done) {
                context_.reject(exchange,
                                {rejection_code::no_quorum, "the durable state can't be reached",
                                 run_state::no, default_retry_after},
                                request_id);
                return;
            }
            if (reply.work().result() == schema::work_reply::missing) {
                context_.reject(exchange, {rejection_code::not_found, "no such job or item"},
                                request_id);
                return;
            }
            on_reply(reply.work());
        });
}

void batch_api::serve(exchange_id exchange, const net::http_request& request,
                      const authenticated_caller& caller, const std::string& request_id) {
    const std::string& method = request.method;
    if (request.path == "/v1/batches") {
        if (method == "POST")
            submit(exchange, request, caller, request_id);
        else if (method == "GET")
            list_jobs(exchange, caller, request_id);
        else
            context_.reject(exchange, {rejection_code::bad_method, "expected GET or POST"},
                            request_id);
        return;
    }
    const std::string subpath = request.path.substr(jobs_prefix.size());
    const std::size_t slash = subpath.find('/');
    const std::string job = subpath.substr(0, slash);
    const std::string action = slash == std::string::npos ? "" : subpath.substr(slash + 1);
    constexpr std::string_view items_prefix = "items/";
    if (action.empty() && method == "GET") {
        show_job(exchange, job, caller, request_id);
    } else if (action == "cancel" && method == "POST") {
        cancel_job(exchange, job, caller, request_id);
    } else if (action == "results" && method == "GET") {
        const std::string& first_text = request.parameter("from");
        std::uint32_t first_ordinal = 0;
        const char* end = first_text.data() + first_text.size();
        const std::from_chars_result parsed =
            std::from_chars(first_text.data(), end, first_ordinal);
        if (!first_text.empty() && (parsed.ec != std::errc() || parsed.ptr != end))
            context_.reject(exchange, {rejection_code::bad_request, "from: expected a number"},
                            request_id);
        else
            stream_results(exchange, job, first_ordinal, caller.plan->team.str(), request_id,
                           false);
    } else if (action.compare(0, items_prefix.size(), items_prefix) == 0 && method == "GET") {
        show_item(exchange, job, action.substr(items_prefix.size()), caller, request_id);
    } else {
        context_.reject(exchange, {rejection_code::not_found, "no such path"}, request_id);
    }
}

void batch_api::show_job(exchange_id exchange, const std::string& job,
                         const authenticated_caller& caller, const std::string& request_id) {
    schema::work_query query;
    query.set_kind(schema::work_query::one_job);
    query.set_job(job);
    query.set_team(caller.plan->team.str());
    send_query(exchange, request_id, group_of(job), query,
               [this, exchange, request_id](const schema::work_reply& reply) {
                   respond_with_job(exchange, request_id, 200, reply.job());
               });
}

void batch_api::show_item(exchange_id exchange, const std::string& job,
                          const std::string& custom_id, const authenticated_caller& caller,
                          const std::string& request_id) {
    schema::work_query query;
    query.set_kind(schema::work_query::one_item);
    query.set_job(job);
    query.set_custom_id(custom_id);
    query.set_team(caller.plan->team.str());
    send_query(exchange, request_id, group_of(job), query,
               [this, exchange, request_id](const schema::work_reply& reply) {
                   net::http_response response;
                   response.headers["Cassia-Request-Id"] = request_id;
                   response.body = boost::json::serialize(item_json(reply.results(0)));
                   context_.server->respond(exchange, response);
               });
}

// The jobs of a team are spread over all work groups.
void batch_api::list_jobs(exchange_id exchange, const authenticated_caller& caller,
                          const std::string& request_id) {
    std::shared_ptr<boost::json::array> jobs = std::make_shared<boost::json::array>();
    const std::uint32_t groups = context_.settings.cluster().work_groups();
    std::shared_ptr<std::uint32_t> replies_pending = std::make_shared<std::uint32_t>(groups);
    for (std::uint32_t group = 1; group <= groups; ++group) {
        schema::work_query query;
        query.set_kind(schema::work_query::jobs_of_team);
        query.set_team(caller.plan->team.str());
        send_query(
            exchange, request_id, group_id(group), query,
            [this, exchange, request_id, jobs, replies_pending](const schema::work_reply& reply) {
                for (const schema::job_view& job : reply.jobs())
                    jobs->push_back(job_json(job));
                if (--*replies_pending > 0)
                    return;
                net::http_response response;
                response.headers["Cassia-Request-Id"] = request_id;
                response.body = boost::json::serialize(boost::json::object{{"data", *jobs}});
                context_.server->respond(exchange, response);
            });
    }
}

void batch_api::cancel_job(exchange_id exchange, const std::string& job,
                           const authenticated_caller& caller, const std::string& request_id) {
    schema::work_command command;
    command.mutable_cancel()->set_job(job);
    command.mutable_cancel()->set_team(caller.plan->team.str());
    command.mutable_cancel()->set_at(to_unix_ms(wall_now()));
    send_command(
        exchange, request_id, group_of(job), command,
        [this, exchange, request_id](const schema::work_reply& reply) {
            if (reply.result() == schema::work_reply::missing)
                context_.reject(exchange, {rejection_code::not_found, "no such job"}, request_id);
            else
                respond_with_job(exchange, request_id, 200, reply.job());
        });
}

void batch_api::stream_results(exchange_id exchange, const std::string& job,
                               std::uint32_t first_ordinal, const std::string& team,
                               const std::string& request_id, bool head_sent) {
    schema::work_query query;
    query.set_kind(schema::work_query::results);
    query.set_job(job);
    query.set_team(team);
    query.set_from(first_ordinal);
    query.set_limit(results_per_page);
    send_query(exchange, request_id, group_of(job), query,
               [this, exchange, job, team, request_id, head_sent](const schema::work_reply& reply) {
                   if (!head_sent) {
                       net::http_response head;
                       head.content_type = "application/jsonl";
                       head.headers["Cassia-Request-Id"] = request_id;
                       context_.server->begin_stream(exchange, head);
                   }
                   std::string lines;
                   for (const schema::item_result& item : reply.results())
                       lines += boost::json::serialize(item_json(item)) + "\n";
                   if (reply.results_size() == 0) {
                       context_.server->end_stream(exchange);
                       return;
                   }
                   context_.server->stream(exchange, lines);
                   const std::uint32_t next_ordinal =
                       reply.results(reply.results_size() - 1).ordinal() + 1;
                   stream_results(exchange, job, next_ordinal, team, request_id, true);
               });
}

} // namespace cassia::entry
