#include "cassia/entry/announce_api.h"

#include "cassia/entry/authentication.h"
#include "cassia/entry/request_text.h"
#include "cassia/membership/endpoint_bounds.h"
#include "cassia/net/http_server.h"

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace cassia::entry {

namespace {
constexpr std::uint32_t announce_interval_ms = 1000;
constexpr std::uint64_t max_slots = 1000000;

/// Reads members of an announcement and records the first error.
class announcement_reader {
public:
    explicit announcement_reader(const boost::json::object& body) : body_(body) {}

    std::string text(const char* name, bool required) {
        const boost::json::value* member = body_.if_contains(name);
        if (member != nullptr && member->is_string())
            return std::string(member->as_string());
        if (required || member != nullptr)
            set_error(name, "expected a string");
        return "";
    }
    std::uint64_t number(const char* name, std::uint64_t max) {
        const boost::json::value* member = body_.if_contains(name);
        if (member == nullptr)
            return 0;
        const bool signed_in_range = member->is_int64() && member->as_int64() >= 0 &&
                                     static_cast<std::uint64_t>(member->as_int64()) <= max;
        const bool unsigned_in_range = member->is_uint64() && member->as_uint64() <= max;
        if (signed_in_range)
            return static_cast<std::uint64_t>(member->as_int64());
        if (unsigned_in_range)
            return member->as_uint64();
        set_error(name, "expected a whole number of at least 0");
        return 0;
    }
    bool flag(const char* name) {
        const boost::json::value* member = body_.if_contains(name);
        if (member == nullptr)
            return false;
        if (!member->is_bool())
            set_error(name, "expected true or false");
        return member->is_bool() && member->as_bool();
    }
    const boost::json::value* member(const char* name) const { return body_.if_contains(name); }
    void set_error(const std::string& name, const std::string& expected) {
        if (error_.empty())
            error_ = name + ": " + expected;
    }
    const std::string& error() const { return error_; }

private:
    const boost::json::object& body_;
    std::string error_;
};
} // namespace

static void read_names(const boost::json::object& model, const char* name,
                       announcement_reader& reader,
                       google::protobuf::RepeatedPtrField<std::string>& names) {
    const boost::json::value* list = model.if_contains(name);
    if (list == nullptr)
        return;
    if (!list->is_array()) {
        reader.set_error(std::string("models.") + name, "expected an array of strings");
        return;
    }
    for (const boost::json::value& element : list->as_array()) {
        if (element.is_string())
            *names.Add() = std::string(element.as_string());
        else
            reader.set_error(std::string("models.") + name, "expected an array of strings");
    }
}

static void read_models(announcement_reader& reader, schema::endpoint_record& record) {
    const boost::json::value* models = reader.member("models");
    if (models == nullptr)
        return;
    if (!models->is_array()) {
        reader.set_error("models", "expected an array");
        return;
    }
    for (const boost::json::value& element : models->as_array()) {
        const boost::json::value* name =
            element.is_object() ? element.as_object().if_contains("model") : nullptr;
        if (name == nullptr || !name->is_string()) {
            reader.set_error("models", "expected objects with a string 'model'");
            return;
        }
        schema::endpoint_model* model = record.add_models();
        model->set_model(std::string(name->as_string()));
        read_names(element.as_object(), "versions", reader, *model->mutable_versions());
        read_names(element.as_object(), "adapters", reader, *model->mutable_adapters());
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
        reader.set_error("kind", "expected engine or plain");
    record.set_engine(kind == "engine");
    record.set_max_running(static_cast<std::uint32_t>(reader.number("max_running", max_slots)));
    const std::string state = reader.text("state", false);
    if (!state.empty() && state != "serving" && state != "leaving")
        reader.set_error("state", "expected serving or leaving");
    record.set_leaving(state == "leaving");
    record.set_software_version(reader.text("software_version", false));
    record.set_checks_fence(reader.flag("checks_fence"));
    read_models(reader, record);
    if (const boost::json::value* load = reader.member("load")) {
        if (load->is_object()) {
            announcement_reader load_reader(load->as_object());
            schema::endpoint_load* endpoint_load = record.mutable_load();
            endpoint_load->set_running(
                static_cast<std::uint32_t>(load_reader.number("running", max_slots)));
            endpoint_load->set_waiting(
                static_cast<std::uint32_t>(load_reader.number("waiting", max_slots)));
            endpoint_load->set_kv_used(load_reader.number("kv_used", UINT64_MAX));
            endpoint_load->set_kv_total(load_reader.number("kv_total", UINT64_MAX));
            if (!load_reader.error().empty())
                reader.set_error("load." + load_reader.error(), "");
        } else {
            reader.set_error("load", "expected an object");
        }
    }
    if (!net::parse_address(record.address()))
        reader.set_error("address", "expected IP:PORT");
    const std::optional<std::string> fault = membership::find_fault(record);
    if (fault)
        reader.set_error("announcement", *fault);
    return record;
}

void announce_api::serve(exchange_id exchange, const net::http_request& request,
                         const std::string& request_id) {
    if (!has_token(request, context_.settings.endpoint_token_sha256())) {
        context_.reject(exchange, {rejection_code::unauthorized, "unknown endpoint token"},
                        request_id);
        return;
    }
    const json_parse_result parsed = parse_json(request.body);
    if (request.method != "POST" || !parsed.value || !parsed.value->is_object()) {
        context_.reject(exchange, {rejection_code::bad_request, "expected a JSON announcement"},
                        request_id);
        return;
    }
    announcement_reader reader(parsed.value->as_object());
    schema::endpoint_record record = read_announcement(parsed.value->as_object(), reader);
    if (!reader.error().empty()) {
        context_.reject(exchange, {rejection_code::bad_request, reader.error()}, request_id);
        return;
    }
    context_.control.record_announcement(std::move(record));
    boost::json::array entries;
    for (const listed_entry& entry : context_.view->entries)
        entries.push_back({{"address", entry.address}, {"zone", entry.zone.str()}, {"weight", 1}});
    net::http_response response;
    response.body = boost::json::serialize(
        boost::json::object{{"interval", announce_interval_ms}, {"entries", std::move(entries)}});
    context_.server->respond(exchange, response);
}

} // namespace cassia::entry
