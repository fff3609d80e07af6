#include "cassia/settings/reader.h"

#include "cassia/schema/settings.pb.h"

// The parser asserts what malformed texts can break, although the code behind the assertion reports
// them properly: without this a slip in a settings file ended the process instead of being named.
#define TOML_ASSERT(expr) static_cast<void>(0)
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <sstream>

namespace cassia::settings {

namespace {
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// Where a value stands, for reports.
struct place {
    const std::string& file;
    std::string key;
};

class reader {
public:
    void read_table(const toml::table& table, const place& at, Message& out);
    void check_mandatory(const Message& message, const std::string& prefix,
                         const std::string& file);
    void report(const place& at, const toml::source_region& region, const std::string& text);
    problem_list take_problems() { return std::move(problems_); }

private:
    void read_field(const toml::node& node, const place& at, const FieldDescriptor& field,
                    Message& out);
    void read_repeated(const toml::node& node, const place& at, const FieldDescriptor& field,
                       Message& out);
    void read_scalar(const toml::node& node, const place& at, const FieldDescriptor& field,
                     Message& out);
    void read_integer(const toml::node& node, const place& at, const FieldDescriptor& field,
                      Message& out);
    void read_string(const toml::node& node, const place& at, const FieldDescriptor& field,
                     Message& out);
    bool is_choice(const toml::node& node, const place& at, const FieldDescriptor& field,
                   const std::string& value);

    problem_list problems_;
};

constexpr std::uint32_t region_unknown = 0;
} // namespace

std::string to_text(const problem& one) {
    std::ostringstream text;
    text << one.file;
    if (one.line != region_unknown)
        text << ':' << one.line << ':' << one.column;
    text << ": ";
    if (!one.key.empty())
        text << one.key << ": ";
    text << one.text;
    return text.str();
}

static std::string joined(const std::string& prefix, std::string_view name) {
    return prefix.empty() ? std::string(name) : prefix + "." + std::string(name);
}

static std::string type_name(const FieldDescriptor& field) {
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return "a number";
    case FieldDescriptor::CPPTYPE_STRING:
        return "a string";
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return "a table";
    default:
        return "a whole number";
    }
}

void reader::report(const place& at, const toml::source_region& region, const std::string& text) {
    problems_.push_back({at.file, static_cast<std::uint32_t>(region.begin.line),
                         static_cast<std::uint32_t>(region.begin.column), at.key, text});
}

void reader::read_table(const toml::table& table, const place& at, Message& out) {
    for (auto&& [name, node] : table) {
        const place inner{at.file, joined(at.key, name.str())};
        const FieldDescriptor* field =
            out.GetDescriptor()->FindFieldByName(std::string(name.str()));
        if (field == nullptr) {
            report(inner, name.source(), "unknown key");
            continue;
        }
        if (field->is_repeated())
            read_repeated(node, inner, *field, out);
        else
            read_field(node, inner, *field, out);
    }
}

void reader::read_field(const toml::node& node, const place& at, const FieldDescriptor& field,
                        Message& out) {
    if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
        read_scalar(node, at, field, out);
        return;
    }
    const toml::table* table = node.as_table();
    if (table == nullptr) {
        report(at, node.source(), "expected a table");
        return;
    }
    read_table(*table, at, *out.GetReflection()->MutableMessage(&out, &field));
}

void reader::read_repeated(const toml::node& node, const place& at, const FieldDescriptor& field,
                           Message& out) {
    const toml::array* array = node.as_array();
    if (array == nullptr) {
        report(at, node.source(), "expected an array");
        return;
    }
    const Reflection* reflection = out.GetReflection();
    reflection->ClearField(&out, &field);
    std::size_t number = 0;
    for (const toml::node& element : *array) {
        const place inner{at.file, at.key + "[" + std::to_string(number++) + "]"};
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            if (const toml::table* table = element.as_table())
                read_table(*table, inner, *reflection->AddMessage(&out, &field));
            else
                report(inner, element.source(), "expected a table");
            continue;
        }
        if (const toml::value<std::string>* text = element.as_string())
            reflection->AddString(&out, &field, text->get());
        else
            report(inner, element.source(), "expected a string");
    }
}

void reader::read_scalar(const toml::node& node, const place& at, const FieldDescriptor& field,
                         Message& out) {
    const Reflection* reflection = out.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        if (const toml::value<bool>* value = node.as_boolean()) {
            reflection->SetBool(&out, &field, value->get());
            return;
        }
        break;
    case FieldDescriptor::CPPTYPE_DOUBLE: {
        const std::optional<double> value = node.is_number() ? node.value<double>() : std::nullopt;
        if (value && *value >= 0) {
            reflection->SetDouble(&out, &field, *value);
            return;
        }
        report(at, node.source(), "expected a number of at least 0");
        return;
    }
    case FieldDescriptor::CPPTYPE_STRING:
        if (node.is_string()) {
            read_string(node, at, field, out);
            return;
        }
        break;
    default:
        if (node.is_integer()) {
            read_integer(node, at, field, out);
            return;
        }
        break;
    }
    report(at, node.source(), "expected " + type_name(field));
}

void reader::read_integer(const toml::node& node, const place& at, const FieldDescriptor& field,
                          Message& out) {
    const std::int64_t value = node.as_integer()->get();
    const google::protobuf::FieldOptions& options = field.options();
    const std::int64_t least = options.GetExtension(schema::min);
    const std::int64_t most =
        options.HasExtension(schema::max) ? options.GetExtension(schema::max) : INT64_MAX;
    if (value < least || value > most) {
        std::string text = "expected a whole number of at least " + std::to_string(least);
        if (most != INT64_MAX)
            text += " and at most " + std::to_string(most);
        report(at, node.source(), text);
        return;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32)
        out.GetReflection()->SetUInt32(&out, &field, static_cast<std::uint32_t>(value));
    else
        out.GetReflection()->SetUInt64(&out, &field, static_cast<std::uint64_t>(value));
}

bool reader::is_choice(const toml::node& node, const place& at, const FieldDescriptor& field,
                       const std::string& value) {
    const std::string& choices = field.options().GetExtension(schema::choices);
    if (choices.empty())
        return true;
    const bool known = ("|" + choices + "|").find("|" + value + "|") != std::string::npos;
    if (!known || value.empty())
        report(at, node.source(), "expected one of " + choices);
    return known;
}

void reader::read_string(const toml::node& node, const place& at, const FieldDescriptor& field,
                         Message& out) {
    const std::string& value = node.as_string()->get();
    if (is_choice(node, at, field, value))
        out.GetReflection()->SetString(&out, &field, value);
}

void reader::check_mandatory(const Message& message, const std::string& prefix,
                             const std::string& file) {
    const Descriptor* descriptor = message.GetDescriptor();
    const Reflection* reflection = message.GetReflection();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const FieldDescriptor* field = descriptor->field(i);
        const std::string key = joined(prefix, field->name());
        const bool present = field->is_repeated() ? reflection->FieldSize(message, field) > 0
                                                  : reflection->HasField(message, field);
        if (!present && field->options().GetExtension(schema::mandatory))
            problems_.push_back({file, region_unknown, region_unknown, key,
                                 "missing; expected " + type_name(*field)});
        if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE || !present)
            continue;
        if (!field->is_repeated()) {
            check_mandatory(reflection->GetMessage(message, field), key, file);
            continue;
        }
        for (int n = 0; n < reflection->FieldSize(message, field); ++n)
            check_mandatory(reflection->GetRepeatedMessage(message, field, n),
                            key + "[" + std::to_string(n) + "]", file);
    }
}

result<void> read(const std::vector<source_text>& texts, Message& out) {
    reader one;
    bool parsed_all = true;
    for (const source_text& source : texts) {
        const toml::parse_result parsed = toml::parse(source.text, source.name);
        if (!parsed) {
            one.report({source.name, ""}, parsed.error().source(),
                       std::string(parsed.error().description()));
            parsed_all = false;
            continue;
        }
        one.read_table(parsed.table(), {source.name, ""}, out);
    }
    if (parsed_all && !texts.empty())
        one.check_mandatory(out, "", texts.front().name);
    problem_list problems = one.take_problems();
    if (problems.empty())
        return success();
    return failure(std::move(problems));
}

source_text override_text(const std::string& assignment) {
    const toml::parse_result parsed = toml::parse(assignment);
    if (parsed)
        return {"--set " + assignment, assignment};
    // On the command line a string may stand without its quotes.
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos)
        return {"--set " + assignment, assignment};
    std::string quoted = assignment.substr(0, equals + 1) + '"';
    for (const char c : assignment.substr(equals + 1)) {
        if (c == '"' || c == '\\')
            quoted.push_back('\\');
        quoted.push_back(c);
    }
    return {"--set " + assignment, quoted + '"'};
}

static std::string default_text(const FieldDescriptor& field) {
    std::ostringstream text;
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        text << (field.default_value_bool() ? "true" : "false");
        break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        text << field.default_value_double();
        break;
    case FieldDescriptor::CPPTYPE_STRING:
        text << '"' << field.default_value_string() << '"';
        break;
    case FieldDescriptor::CPPTYPE_UINT32:
        text << field.default_value_uint32();
        break;
    case FieldDescriptor::CPPTYPE_UINT64:
        text << field.default_value_uint64();
        break;
    default:
        break;
    }
    return text.str();
}

static void describe_fields(const Descriptor& descriptor, const std::string& prefix,
                            std::ostringstream& text) {
    for (int i = 0; i < descriptor.field_count(); ++i) {
        const FieldDescriptor& field = *descriptor.field(i);
        const std::string key = joined(prefix, field.name()) + (field.is_repeated() ? "[]" : "");
        if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            describe_fields(*field.message_type(), key, text);
            continue;
        }
        text << "  " << key << "  ";
        if (field.options().GetExtension(schema::mandatory))
            text << "(mandatory) ";
        else if (!field.is_repeated())
            text << "(" << default_text(field) << ") ";
        text << field.options().GetExtension(schema::doc);
        const std::string& choices = field.options().GetExtension(schema::choices);
        if (!choices.empty())
            text << ": " << choices;
        text << '\n';
    }
}

std::string describe(const Message& settings) {
    std::ostringstream text;
    describe_fields(*settings.GetDescriptor(), "", text);
    return text.str();
}

} // namespace cassia::settings
