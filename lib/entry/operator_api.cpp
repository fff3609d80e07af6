#include "cassia/entry/operator_api.h"

#include "cassia/base/log.h"
#include "cassia/entry/authentication.h"
#include "cassia/entry/request_text.h"
#include "cassia/schema/messages.pb.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::entry {

static void respond_json(http_context& context, exchange_id exchange, int status,
                         const boost::json::object& body) {
    net::http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    context.server->respond(exchange, response);
}

void operator_api::serve(exchange_id exchange, const net::http_request& request,
                         const std::string& request_id) {
    if (!has_token(request, context_.settings.operator_token_sha256())) {
        context_.reject(exchange, {rejection_code::unauthorized, "unknown operator token"},
                        request_id);
        return;
    }
    const std::string action = request.path.substr(std::string_view("/v1/operator/").size());
    if (action == "apply" && request.method == "POST") {
        apply(exchange, request, request_id);
    } else if (action == "history" && request.method == "GET") {
        history(exchange, request_id);
    } else if (action == "explain" && request.method == "GET") {
        explain(exchange, request.parameter("subject"));
    } else if (action == "status" && request.method == "GET") {
        status(exchange);
    } else if (action == "drain" && request.method == "POST") {
        drain_();
        respond_json(context_, exchange, 202, {{"state", "draining"}});
    } else {
        context_.reject(exchange, {rejection_code::not_found, "no such path"}, request_id);
    }
}

static boost::json::array problems_to_json(const settings::problem_list& problems) {
    boost::json::array json;
    for (const settings::problem& problem : problems)
        json.push_back(boost::json::string(settings::to_text(problem)));
    return json;
}

static const char* result_name(schema::control_reply::outcome result) {
    switch (result) {
    case schema::control_reply::accepted:
    case schema::control_reply::replayed:
        return "accepted";
    case schema::control_reply::conflict:
        return "conflict";
    default:
        return "change_id_reused";
    }
}

void operator_api::apply(exchange_id exchange, const net::http_request& request,
                         const std::string& request_id) {
    const json_parse_result parsed = parse_json(request.body);
    const boost::json::object* body =
        parsed.value && parsed.value->is_object() ? &parsed.value->as_object() : nullptr;
    schema::change_command change;
    bool complete = body != nullptr;
    const auto string_member = [&body, &complete](const char* name) {
        const boost::json::value* member = complete ? body->if_contains(name) : nullptr;
        complete = member != nullptr && member->is_string();
        return complete ? std::string(member->as_string()) : std::string();
    };
    change.set_change_id(string_member("change_id"));
    change.set_plans(string_member("plans"));
    change.set_allowances(string_member("allowances"));
    const boost::json::value* base = complete ? body->if_contains("base") : nullptr;
    if (base == nullptr || !base->is_int64() || base->as_int64() < 0 ||
        change.change_id().empty()) {
        context_.reject(exchange,
                        {rejection_code::bad_request,
                         "expected base (a version), change_id, plans and allowances"},
                        request_id);
        return;
    }
    change.set_base(static_cast<std::uint64_t>(base->as_int64()));
    change.set_at(to_unix_ms(wall_now()));
    const settings::result<std::shared_ptr<const settings::catalog>> catalog =
        settings::catalog::parse(0, "plans.toml", change.plans(), "allowances.toml",
                                 change.allowances());
    if (!catalog) {
        respond_json(context_, exchange, 400,
                     {{"result", "invalid"}, {"problems", problems_to_json(catalog.error())}});
        return;
    }
    schema::keeper_request command_request;
    *command_request.mutable_control()->mutable_change() = change;
    context_.control.send_request(
        std::move(command_request), request_options{milliseconds(10000), true}, context_.task,
        [this, exchange, request_id, id = change.change_id()](const schema::keeper_reply& reply) {
            if (reply.result() != schema::keeper_reply::done) {
                context_.reject(exchange,
                                {rejection_code::no_quorum,
                                 "the outcome is unknown; resend with the same change-id",
                                 run_state::maybe, default_retry_after},
                                request_id);
                return;
            }
            const schema::control_reply& control = reply.control();
            log_info("change_answered")
                .with("change_id", id)
                .with("result", result_name(control.result()))
                .with("version", control.version());
            const bool accepted = control.result() == schema::control_reply::accepted ||
                                  control.result() == schema::control_reply::replayed;
            respond_json(context_, exchange, accepted ? 200 : 409,
                         {{"result", result_name(control.result())},
                          {"version", control.version()},
                          {"winner", control.winner()}});
        });
}

void operator_api::history(exchange_id exchange, const std::string& request_id) {
    schema::keeper_request history_request;
    history_request.set_history(true);
    context_.control.send_request(
        std::move(history_request), request_options(), context_.task,
        [this, exchange, request_id](const schema::keeper_reply& reply) {
            if (reply.result() != schema::keeper_reply::done) {
                context_.reject(exchange,
                                {rejection_code::no_quorum, "the durable state can't be reached",
                                 run_state::no, default_retry_after},
                                request_id);
                return;
            }
            boost::json::array changes;
            for (const schema::change_record& change : reply.history())
                changes.push_back({{"version", change.version()},
                                   {"change_id", change.change_id()},
                                   {"at", format_rfc3339_time(from_unix_ms(change.at()))},
                                   {"digest", change.digest()}});
            boost::json::object body{{"changes", std::move(changes)}};
            if (reply.history_size() > 0) {
                const schema::change_record& newest = reply.history(reply.history_size() - 1);
                body["plans"] = newest.plans();
                body["allowances"] = newest.allowances();
            }
            respond_json(context_, exchange, 200, body);
        });
}

void operator_api::explain(exchange_id exchange, const std::string& subject) {
    boost::json::array decisions;
    for (const decision& found : context_.decisions.find(subject))
        decisions.push_back({{"at", to_unix_ms(found.at)},
                             {"entry", context_.settings.name()},
                             {"kind", decision_kind_name(found.kind)},
                             {"subject", found.subject},
                             {"object", found.object},
                             {"reason", found.reason}});
    respond_json(context_, exchange, 200, {{"decisions", std::move(decisions)}});
}

void operator_api::status(exchange_id exchange) {
    context_.control.dump(context_.task, [this, exchange](const std::string& text) {
        net::http_response response;
        response.body = text;
        context_.server->respond(exchange, response);
    });
}

} // namespace cassia::entry
