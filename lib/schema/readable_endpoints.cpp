#include "cassia/schema/readable_endpoints.h"

#include "cassia/schema/messages.pb.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <memory>
#include <string>

namespace cassia::schema {

namespace {
namespace protobuf = google::protobuf;
using protobuf::internal::WireFormatLite;

/// Copies a message's fields, without the records that can't be parsed.
class readable_copy {
public:
    /// \returns false if the message can't be read at all.
    bool add(const protobuf::Descriptor& type, std::string_view bytes);
    const std::string& bytes() const { return bytes_; }
    std::size_t left_out() const { return left_out_; }

private:
    bool add_part(const protobuf::Descriptor& type, std::string_view tag, std::string_view content,
                  std::string_view whole);

    std::string bytes_;
    std::size_t left_out_ = 0;
};
} // namespace

static bool is_record(const protobuf::Descriptor& type) {
    return &type == endpoint_record::descriptor() || &type == endpoint_pulse::descriptor();
}

static bool has_records(const protobuf::Descriptor& type) {
    for (int i = 0; i < type.field_count(); ++i) {
        const protobuf::Descriptor* part = type.field(i)->message_type();
        if (part != nullptr && is_record(*part))
            return true;
    }
    return false;
}

static const protobuf::Descriptor* find_part(const protobuf::Descriptor& type, std::uint32_t tag) {
    if (WireFormatLite::GetTagWireType(tag) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED)
        return nullptr;
    const protobuf::FieldDescriptor* field =
        type.FindFieldByNumber(WireFormatLite::GetTagFieldNumber(tag));
    const protobuf::Descriptor* part = field == nullptr ? nullptr : field->message_type();
    return part != nullptr && (is_record(*part) || has_records(*part)) ? part : nullptr;
}

bool readable_copy::add_part(const protobuf::Descriptor& type, std::string_view tag,
                             std::string_view content, std::string_view whole) {
    if (is_record(type)) {
        const std::unique_ptr<protobuf::Message> record(
            protobuf::MessageFactory::generated_factory()->GetPrototype(&type)->New());
        if (record->ParseFromArray(content.data(), static_cast<int>(content.size())))
            bytes_.append(whole);
        else
            ++left_out_;
        return true;
    }
    readable_copy part;
    if (!part.add(type, content))
        return false;
    left_out_ += part.left_out();
    protobuf::io::StringOutputStream stream(&bytes_);
    protobuf::io::CodedOutputStream out(&stream);
    out.WriteRaw(tag.data(), static_cast<int>(tag.size()));
    out.WriteVarint32(static_cast<std::uint32_t>(part.bytes().size()));
    out.WriteString(part.bytes());
    return true;
}

bool readable_copy::add(const protobuf::Descriptor& type, std::string_view bytes) {
    protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                      static_cast<int>(bytes.size()));
    const auto position = [&in] { return static_cast<std::size_t>(in.CurrentPosition()); };
    while (position() < bytes.size()) {
        const std::size_t start = position();
        const std::uint32_t tag = in.ReadTag();
        const std::size_t after_tag = position();
        const protobuf::Descriptor* part = find_part(type, tag);
        if (part == nullptr) {
            if (tag == 0 || !WireFormatLite::SkipField(&in, tag))
                return false;
            bytes_.append(bytes.substr(start, position() - start));
            continue;
        }
        std::uint32_t length = 0;
        if (!in.ReadVarint32(&length) || length > bytes.size() - position())
            return false;
        const std::string_view content = bytes.substr(position(), length);
        in.Skip(static_cast<int>(length));
        if (!add_part(*part, bytes.substr(start, after_tag - start), content,
                      bytes.substr(start, position() - start)))
            return false;
    }
    return true;
}

std::optional<std::size_t> parse_readable_endpoints(std::string_view bytes,
                                                    protobuf::Message& into) {
    if (into.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return 0;
    readable_copy copy;
    if (!copy.add(*into.GetDescriptor(), bytes) || copy.left_out() == 0 ||
        !into.ParseFromString(copy.bytes()))
        return std::nullopt;
    return copy.left_out();
}

} // namespace cassia::schema
