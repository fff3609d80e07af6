#include "cassia/membership/endpoint_bounds.h"

#include <arpa/inet.h>
#include <glib.h>

#include <algorithm>
#include <charconv>

namespace cassia::membership {

namespace {
constexpr std::size_t most_name_bytes = 256;
constexpr std::uint32_t most_requests = 1000000; // in a report of the load
constexpr std::uint32_t most_cold_ms = 24U * 3600 * 1000;
} // namespace

// Names end up in messages between processes, which have to be UTF-8, and in logs.
static bool is_name_or_empty(const std::string& text) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    return text.size() <= most_name_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char one) { return one >= first_printable && one != del; }) &&
           g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) != FALSE;
}

bool is_name(const std::string& text) {
    return !text.empty() && is_name_or_empty(text);
}

// An IPv4 address at which one machine can be reached, with a port.
static bool is_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::uint16_t port = 0;
    const char* last = address.data() + address.size();
    const std::from_chars_result number = std::from_chars(address.data() + colon + 1, last, port);
    in_addr ip{};
    return number.ec == std::errc() && number.ptr == last && port != 0 &&
           inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) == 1 &&
           ip.s_addr != INADDR_ANY && ip.s_addr != INADDR_BROADCAST &&
           !IN_MULTICAST(ntohl(ip.s_addr));
}

static bool has_names(const schema::endpoint_model& model) {
    return is_name_or_empty(model.model()) &&
           std::all_of(model.versions().begin(), model.versions().end(), is_name_or_empty) &&
           std::all_of(model.adapters().begin(), model.adapters().end(), is_name_or_empty);
}

std::optional<std::string> find_fault(const schema::endpoint_record& record) {
    if (!is_name(record.id()) || !is_name_or_empty(record.service()) ||
        !is_name_or_empty(record.zone()) || !is_name_or_empty(record.software_version()) ||
        !std::all_of(record.models().begin(), record.models().end(), has_names))
        return "a name is empty, too long or not printable UTF-8";
    // Of an endpoint that has ended, only its id may be known.
    const bool needs_address = !record.gone() || !record.address().empty();
    if (needs_address && !is_address(record.address()))
        return "the address isn't the IP:PORT of a machine";
    if (record.max_running() > most_slots)
        return "too many slots";
    if (record.load().running() > most_requests || record.load().waiting() > most_requests)
        return "too many requests";
    if (record.cold_ms() > most_cold_ms)
        return "slow for too long after its start";
    if (record.sequence() > largest_count || record.incarnation() > largest_count)
        return "the sequence or the incarnation is too large";
    return std::nullopt;
}

bool is_sound(const schema::endpoint_pulse& pulse) {
    return pulse.sequence() <= largest_count && pulse.incarnation() <= largest_count;
}

} // namespace cassia::membership
