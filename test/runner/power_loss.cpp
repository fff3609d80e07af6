#include "power_loss.h"

#include <sys/stat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <utility>

namespace cassia::scenario {

namespace {

using name_map = std::map<std::string, std::uint64_t>; ///< numbers of files by name

std::string read_whole(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::uint64_t number_of(const std::filesystem::path& path) {
    struct stat status {};
    return ::stat(path.c_str(), &status) == 0 ? status.st_ino : 0;
}

name_map list_names(const std::string& folder) {
    name_map names;
    for (const std::filesystem::directory_entry& one : std::filesystem::directory_iterator(folder))
        names[one.path().filename()] = number_of(one.path());
    return names;
}

void read_names(const std::string& path, name_map& names) {
    std::ifstream file(path);
    std::uint64_t number = 0;
    std::string name;
    while (file >> number >> name)
        names[name] = number;
}

void write_names(const std::string& path, const name_map& names) {
    std::ofstream file(path);
    for (const std::pair<const std::string, std::uint64_t>& one : names)
        file << one.second << " " << one.first << "\n";
}

// A write that wasn't synced is present, missing, torn, or present in some of its sectors: a disk
// writes them in any order.
std::string content_after_loss(const std::string& synced, const std::string& current,
                               std::mt19937_64& random) {
    constexpr int fates = 4;
    constexpr std::size_t sector_bytes = 512;
    const std::uint64_t fate = random() % fates;
    if (current == synced || fate == 0)
        return synced;
    if (fate == 1)
        return current;
    std::string torn = current;
    const auto lose = [&](std::size_t from, std::size_t to) {
        for (std::size_t i = from; i < to; ++i)
            torn[i] = i < synced.size() ? synced[i] : '\0';
    };
    if (fate == 2) {
        lose(random() % (torn.size() + 1), torn.size());
        return torn;
    }
    for (std::size_t from = 0; from < torn.size(); from += sector_bytes) {
        if (random() % 2 == 0)
            lose(from, std::min(from + sector_bytes, torn.size()));
    }
    return torn;
}

} // namespace

power_loss_count lose_power(const std::string& folder, const std::string& synced,
                            std::uint64_t seed, bool loses_all_unsynced) {
    std::mt19937_64 random(seed);
    power_loss_count count;
    const name_map current = list_names(folder);
    name_map durable;
    read_names(synced + "/names", durable);
    read_names(synced + "/new", durable);
    std::map<std::uint64_t, std::string> current_contents;
    for (const std::pair<const std::string, std::uint64_t>& one : current)
        current_contents[one.second] = read_whole(folder + "/" + one.first);
    name_map all = current;
    all.insert(durable.begin(), durable.end());
    std::map<std::string, std::string> left;
    for (const std::pair<const std::string, std::uint64_t>& one : all) {
        auto now = current.find(one.first);
        auto before = durable.find(one.first);
        const bool is_same =
            now != current.end() && before != durable.end() && now->second == before->second;
        const bool keeps = is_same || (!loses_all_unsynced && random() % 2 == 0);
        count.names_set_back += keeps ? 0 : 1;
        const name_map& from = keeps ? current : durable;
        auto chosen = from.find(one.first);
        if (chosen == from.end())
            continue;
        const std::string kept = read_whole(synced + "/" + std::to_string(chosen->second));
        auto content = current_contents.find(chosen->second);
        left[one.first] = content == current_contents.end() || loses_all_unsynced
                              ? kept
                              : content_after_loss(kept, content->second, random);
        if (content != current_contents.end() && left[one.first] != content->second)
            ++count.files_set_back;
    }
    for (const std::string& place : {folder, synced}) {
        for (const std::filesystem::directory_entry& one :
             std::filesystem::directory_iterator(place))
            std::filesystem::remove_all(one.path());
    }
    for (const std::pair<const std::string, std::string>& one : left)
        std::ofstream(folder + "/" + one.first, std::ios::binary) << one.second;
    const name_map names = list_names(folder);
    write_names(synced + "/names", names);
    for (const std::pair<const std::string, std::uint64_t>& one : names)
        std::filesystem::copy_file(folder + "/" + one.first,
                                   synced + "/" + std::to_string(one.second));
    return count;
}

} // namespace cassia::scenario
