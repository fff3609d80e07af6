#include "cassia/entry/batch_api.h"

#include "cassia/entry/request_text.h"
#include "cassia/state/sharding.h"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::uint32_t results_a_page = 1000;
constexpr std::string_view jobs_path = "/v1/batches/";
} // namespace

group_id batch_api::group_of(const std::string& job) const {
    return state::group_of_job(job_id(job), context_.settings.cluster().work_groups());
}

static boost::json::object job_json(const schema::job_view& job) {
    boost::json::object out;
    out["id"] = job.job();
    out["status"] = job.status();
    out["counts"] = {
        {"total", job.counts().total()},         {"completed", job.counts().completed()},
        {"failed", job.counts().failed()},       {"unknown", job.counts().unknown()},
        {"cancelled", job.counts().cancelled()}, {"running", job.counts().running()}};
    if (job.deadline() == 0)
        out["deadline"] = nullptr;
    else
        out["deadline"] = format_time(from_unix_ms(job.deadline()));
    out["created"] = format_time(from_unix_ms(job.created()));
    return out;
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
    boost::json::object out;
    out["custom_id"] = item.custom_id();
    out["status"] = item_status_name(item.status());
    out["attempts"] = item.attempts();
    if (item.http_status() == 0)
        return out;
    const json_parse_result body = parse_json(item.body());
    out["response"] = {{"status_code", item.http_status()},
                       {"body", body.value ? *body.value : boost::json::value(item.body())}};
    return out;
}

void batch_api::answer_job(exchange_id exchange, const std::string& request_id, int status,
                           const schema::job_view& job) {
    net::http_response response;
    response.status = status;
    response.headers["Cassia-Request-Id"] = request_id;
    response.body = boost::json::serialize(job_json(job));
    context_.server->respond(exchange, response);
}

void batch_api::query(exchange_id exchange, const std::string& request_id, group_id group,
                      const schema::work_query& question, const work_handler& done) {
    schema::keeper_request request;
    request.set_group(static_cast<std::uint32_t>(group.value()));
    *request.mutable_query() = question;
    context_.control.send_request(
        std::move(request), request_options(), context_.task,
        [this, exchange, request_id, done](const schema::keeper_reply& reply) {
            if (reply.result() != schema::keeper_reply::done) {
                context_.refuse(exchange,
                                {refusal_code::no_quorum, "the durable state can't be reached",
                                 run_state::no, come_back_soon},
                                request_id);
                return;
            }
            if (reply.work().result() == schema::work_reply::missing) {
                context_.refuse(exchange, {refusal_code::not_found, "no such job or item"},
                                request_id);
                return;
            }
            done(reply.work());
        });
}

void batch_api::serve(exchange_id exchange, const net::http_request& request, const caller& from,
                      const std::string& request_id) {
    if (context_.view->stale) {
        context_.refuse(exchange,
                        {refusal_code::stale, "this entry is cut off from the configuration",
                         run_state::no, come_back_soon},
                        request_id);
        return;
    }
    const std::string& method = request.method;
    if (request.path == "/v1/batches") {
        if (method == "POST")
            submit(exchange, request, from, request_id);
        else if (method == "GET")
            list(exchange, from, request_id);
        else
            context_.refuse(exchange, {refusal_code::bad_method, "expected GET or POST"},
                            request_id);
        return;
    }
    const std::string rest = request.path.substr(jobs_path.size());
    const std::size_t slash = rest.find('/');
    const std::string job = rest.substr(0, slash);
    const std::string what = slash == std::string::npos ? "" : rest.substr(slash + 1);
    constexpr std::string_view items = "items/";
    if (what.empty() && method == "GET") {
        show(exchange, job, from, request_id);
    } else if (what == "cancel" && method == "POST") {
        cancel(exchange, job, from, request_id);
    } else if (what == "results" && method == "GET") {
        const std::string& text = request.parameter("from");
        std::uint32_t first = 0;
        const char* last = text.data() + text.size();
        const std::from_chars_result read = std::from_chars(text.data(), last, first);
        if (!text.empty() && (read.ec != std::errc() || read.ptr != last))
            context_.refuse(exchange, {refusal_code::bad_request, "from: expected a number"},
                            request_id);
        else
            stream_results(exchange, job, first, from.plan->team.str(), request_id, false);
    } else if (what.compare(0, items.size(), items) == 0 && method == "GET") {
        show_item(exchange, job, what.substr(items.size()), from, request_id);
    } else {
        context_.refuse(exchange, {refusal_code::not_found, "no such path"}, request_id);
    }
}

void batch_api::show(exchange_id exchange, const std::string& job, const caller& from,
                     const std::string& request_id) {
    schema::work_query question;
    question.set_kind(schema::work_query::one_job);
    question.set_job(job);
    question.set_team(from.plan->team.str());
    query(exchange, request_id, group_of(job), question,
          [this, exchange, request_id](const schema::work_reply& reply) {
              answer_job(exchange, request_id, 200, reply.job());
          });
}

void batch_api::show_item(exchange_id exchange, const std::string& job,
                          const std::string& custom_id, const caller& from,
                          const std::string& request_id) {
    schema::work_query question;
    question.set_kind(schema::work_query::one_item);
    question.set_job(job);
    question.set_custom_id(custom_id);
    question.set_team(from.plan->team.str());
    query(exchange, request_id, group_of(job), question,
          [this, exchange, request_id](const schema::work_reply& reply) {
              net::http_response response;
              response.headers["Cassia-Request-Id"] = request_id;
              response.body = boost::json::serialize(item_json(reply.results(0)));
              context_.server->respond(exchange, response);
          });
}

// A team's jobs lie in all groups.
void batch_api::list(exchange_id exchange, const caller& from, const std::string& request_id) {
    std::shared_ptr<boost::json::array> jobs = std::make_shared<boost::json::array>();
    const std::uint32_t groups = context_.settings.cluster().work_groups();
    std::shared_ptr<std::uint32_t> open = std::make_shared<std::uint32_t>(groups);
    for (std::uint32_t group = 1; group <= groups; ++group) {
        schema::work_query question;
        question.set_kind(schema::work_query::jobs_of_team);
        question.set_team(from.plan->team.str());
        query(exchange, request_id, group_id(group), question,
              [this, exchange, request_id, jobs, open](const schema::work_reply& reply) {
                  for (const schema::job_view& job : reply.jobs())
                      jobs->push_back(job_json(job));
                  if (--*open > 0)
                      return;
                  net::http_response response;
                  response.headers["Cassia-Request-Id"] = request_id;
                  response.body = boost::json::serialize(boost::json::object{{"data", *jobs}});
                  context_.server->respond(exchange, response);
              });
    }
}

void batch_api::cancel(exchange_id exchange, const std::string& job, const caller& from,
                       const std::string& request_id) {
    schema::work_command command;
    command.mutable_cancel()->set_job(job);
    command.mutable_cancel()->set_team(from.plan->team.str());
    command.mutable_cancel()->set_at(to_unix_ms(wall_now()));
    ask_work(
        exchange, request_id, group_of(job), command,
        [this, exchange, request_id](const schema::work_reply& reply) {
            if (reply.result() == schema::work_reply::missing)
                context_.refuse(exchange, {refusal_code::not_found, "no such job"}, request_id);
            else
                answer_job(exchange, request_id, 200, reply.job());
        });
}

void batch_api::stream_results(exchange_id exchange, const std::string& job,
                               std::uint32_t from_item, const std::string& team,
                               const std::string& request_id, bool begun) {
    schema::work_query question;
    question.set_kind(schema::work_query::results);
    question.set_job(job);
    question.set_team(team);
    question.set_from(from_item);
    question.set_limit(results_a_page);
    query(exchange, request_id, group_of(job), question,
          [this, exchange, job, team, request_id, begun](const schema::work_reply& reply) {
              if (!begun) {
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
              const std::uint32_t next = reply.results(reply.results_size() - 1).ordinal() + 1;
              stream_results(exchange, job, next, team, request_id, true);
          });
}

} // namespace cassia::entry
