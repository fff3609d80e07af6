#include "cassia/entry/announce_api.h"

#include "cassia/entry/authentication.h"
#include "cassia/entry/request_text.h"
#include "cassia/net/http_server.h"

#include <boost/json.hpp>

#include <utility>

namespace cassia::entry {

namespace {
constexpr std::uint32_t announce_interval_ms = 1000;
constexpr std::uint64_t most_slots = 1000000;

/// Reads members of an announcement and keeps the first fault.
class announcement_reader {
public:
    explicit announcement_reader(const boost::json::object& body) : body_(body) {}

    std::string text(const char* name, bool mandatory) {
        const boost::json::value* member = body_.if_contains(name);
        if (member != nullptr && member->is_string())
            return std::string(member->as_string());
        if (mandatory || member != nullptr)
            fault(name, "expected a string");
        return "";
    }
    std::uint64_t number(const char* name, std::uint64_t most) {
        const boost::json::value* member = body_.if_contains(name);
        if (member == nullptr)
            return 0;
        const bool fits = member->is_int64() && member->as_int64() >= 0 &&
                          static_cast<std::uint64_t>(member->as_int64()) <= most;
        const bool large = member->is_uint64() && member->as_uint64() <= most;
        if (fits)
            return static_cast<std::uint64_t>(member->as_int64());
        if (large)
            return member->as_uint64();
        fault(name, "expected a whole number of at least 0");
        return 0;
    }
    bool flag(const char* name) {
        const boost::json::value* member = body_.if_contains(name);
        if (member == nullptr)
            return false;
        if (!member->is_bool())
            fault(name, "expected true or false");
        return member->is_bool() && member->as_bool();
    }
    const boost::json::value* member(const char* name) const { return body_.if_contains(name); }
    void fault(const std::string& name, const std::string& expected) {
        if (problem_.empty())
            problem_ = name + ": " + expected;
    }
    const std::string& problem() const { return problem_; }

private:
    const boost::json::object& body_;
    std::string problem_;
};
} // namespace

static void read_names(const boost::json::object& in, const char* name, announcement_reader& reader,
                       google::protobuf::RepeatedPtrField<std::string>& out) {
    const boost::json::value* list = in.if_contains(name);
    if (list == nullptr)
        return;
    if (!list->is_array()) {
        reader.fault(std::string("models.") + name, "expected an array of strings");
        return;
    }
    for (const boost::json::value& one : list->as_array()) {
        if (one.is_string())
            *out.Add() = std::string(one.as_string());
        else
            reader.fault(std::string("models.") + name, "expected an array of strings");
    }
}

static void read_models(announcement_reader& reader, schema::endpoint_record& record) {
    const boost::json::value* models = reader.member("models");
    if (models == nullptr)
        return;
    if (!models->is_array()) {
        reader.fault("models", "expected an array");
        return;
    }
    for (const boost::json::value& one : models->as_array()) {
        const boost::json::value* name =
            one.is_object() ? one.as_object().if_contains("model") : nullptr;
        if (name == nullptr || !name->is_string()) {
            reader.fault("models", "expected objects with a string 'model'");
            return;
        }
        schema::endpoint_model* model = record.add_models();
        model->set_model(std::string(name->as_string()));
        read_names(one.as_object(), "versions", reader, *model->mutable_versions());
        read_names(one.as_object(), "adapters", reader, *model->mutable_adapters());
    }
}

static schema::endpoint_record read_announcement(const boost::json::object& body,
                                                 announcement_reader& reader) {
    schema::endpoint_record record;
    record.set_id(reader.text("id", true));
    record.set_incarnation(reader.number("incarnation", UINT64_MAX));
    record.set_address(reader.text("address", true));
    record.set_zone(reader.text("zone", true));
    record.set_service(reader.text("service", false));
    const std::string kind = reader.text("kind", true);
    if (kind != "engine" && kind != "plain")
        reader.fault("kind", "expected engine or plain");
    record.set_engine(kind == "engine");
    record.set_max_running(static_cast<std::uint32_t>(reader.number("max_running", most_slots)));
    const std::string state = reader.text("state", false);
    if (!state.empty() && state != "serving" && state != "leaving")
        reader.fault("state", "expected serving or leaving");
    record.set_leaving(state == "leaving");
    record.set_checks_fence(reader.flag("checks_fence"));
    read_models(reader, record);
    if (const boost::json::value* load = reader.member("load")) {
        if (load->is_object()) {
            announcement_reader loads(load->as_object());
            schema::endpoint_load* out = record.mutable_load();
            out->set_running(static_cast<std::uint32_t>(loads.number("running", most_slots)));
            out->set_waiting(static_cast<std::uint32_t>(loads.number("waiting", most_slots)));
            out->set_kv_used(loads.number("kv_used", UINT64_MAX));
            out->set_kv_total(loads.number("kv_total", UINT64_MAX));
            if (!loads.problem().empty())
                reader.fault("load." + loads.problem(), "");
        } else {
            reader.fault("load", "expected an object");
        }
    }
    if (!net::parse_address(record.address()))
        reader.fault("address", "expected IP:PORT");
    return record;
}

void announce_api::serve(exchange_id exchange, const net::http_request& request,
                         const std::string& request_id) {
    if (!has_token(request, context_.settings.endpoint_token_sha256())) {
        context_.refuse(exchange, {refusal_code::unauthorized, "unknown endpoint token"},
                        request_id);
        return;
    }
    const json_parse_result parsed = parse_json(request.body);
    if (request.method != "POST" || !parsed.value || !parsed.value->is_object()) {
        context_.refuse(exchange, {refusal_code::bad_request, "expected a JSON announcement"},
                        request_id);
        return;
    }
    announcement_reader reader(parsed.value->as_object());
    schema::endpoint_record record = read_announcement(parsed.value->as_object(), reader);
    if (!reader.problem().empty()) {
        context_.refuse(exchange, {refusal_code::bad_request, reader.problem()}, request_id);
        return;
    }
    context_.control.record_announcement(std::move(record));
    boost::json::array entries;
    for (const listed_entry& one : context_.view->entries)
        entries.push_back({{"address", one.address}, {"zone", one.zone.str()}, {"weight", 1}});
    net::http_response response;
    response.body = boost::json::serialize(
        boost::json::object{{"interval", announce_interval_ms}, {"entries", std::move(entries)}});
    context_.server->respond(exchange, response);
}

} // namespace cassia::entry
