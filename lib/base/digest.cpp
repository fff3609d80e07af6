#include "cassia/base/digest.h"

#include <glib.h>

#include <cstdio>
#include <random>

namespace cassia {

std::string sha256_hex(std::string_view data) {
    char* hex = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(data.data()), data.size());
    std::string result(hex);
    g_free(hex);
    return result;
}

std::string sha256_hex_of_parts(std::initializer_list<std::string_view> parts) {
    GChecksum* checksum = g_checksum_new(G_CHECKSUM_SHA256);
    for (const std::string_view part : parts)
        g_checksum_update(checksum, reinterpret_cast<const guchar*>(part.data()),
                          static_cast<gssize>(part.size()));
    std::string result(g_checksum_get_string(checksum));
    g_checksum_free(checksum);
    return result;
}

std::string keyed_hash(std::string_view secret, std::string_view data) {
    char* hex = g_compute_hmac_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(secret.data()), secret.size(),
        reinterpret_cast<const guchar*>(data.data()), data.size());
    std::string result(hex);
    g_free(hex);
    return result;
}

std::uint64_t stable_hash(std::string_view data) {
    // FNV-1a, then a finalizer: the plain function leaves the high bits of short names alike, and
    // rendezvous hashing compares high bits first.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33U;
    return hash;
}

std::uint64_t random_bits() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string random_name(std::string_view prefix) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(random_bits()));
    return std::string(prefix) + digits;
}

bool equal_secrets(std::string_view a, std::string_view b) {
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return difference == 0;
}

} // namespace cassia
