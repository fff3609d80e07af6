// Preloaded into a process: keeps the synced content of each file, by its number, and in "names"
// and "new" the names that a loss of power would leave of its folder.

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

struct written_range {
    off_t offset;
    std::size_t size;
};

std::mutex mutex;
std::mutex names_mutex; // threads that sync a folder together write the same files of its names
std::map<ino_t, std::vector<written_range>> written; // since the file's last sync
std::set<ino_t> copied;                              // files that were copied whole

const char* tracked_folder() {
    static const char* const folder = std::getenv("CASSIA_TRACKED_FOLDER");
    return folder;
}

std::string synced_path(const std::string& name) {
    return std::string(std::getenv("CASSIA_SYNCED_FOLDER")) + "/" + name;
}

std::string path_of(int file) {
    char path[4096];
    const std::string link = "/proc/self/fd/" + std::to_string(file);
    const ssize_t size = readlink(link.c_str(), path, sizeof path);
    return size < 0 ? "" : std::string(path, static_cast<std::size_t>(size));
}

bool is_tracked(const std::string& path) {
    return tracked_folder() != nullptr && path.rfind(tracked_folder(), 0) == 0;
}

void write_whole(int file, const char* bytes, std::size_t size, off_t offset) {
    static const auto real =
        reinterpret_cast<ssize_t (*)(int, const void*, size_t, off_t)>(dlsym(RTLD_NEXT, "pwrite"));
    while (size > 0) {
        const ssize_t count = real(file, bytes, size, offset);
        if (count <= 0)
            std::abort();
        bytes += count;
        size -= static_cast<std::size_t>(count);
        offset += count;
    }
}

void keep_content(int file, const struct stat& status) {
    const std::string path = synced_path(std::to_string(status.st_ino));
    const bool is_new = access(path.c_str(), F_OK) != 0;
    const int copy = open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (copy < 0)
        std::abort();
    std::vector<char> bytes;
    const int source =
        open(("/proc/self/fd/" + std::to_string(file)).c_str(), O_RDONLY | O_CLOEXEC);
    const auto copy_range = [&](off_t offset, std::size_t size) {
        bytes.resize(size);
        const ssize_t count = pread(source, bytes.data(), size, offset);
        if (count > 0)
            write_whole(copy, bytes.data(), static_cast<std::size_t>(count), offset);
    };
    std::vector<written_range> ranges;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ranges = std::exchange(written[status.st_ino], {});
        // Of a file from an earlier process it isn't known what that one wrote and didn't sync.
        if (copied.insert(status.st_ino).second)
            ranges = {{0, static_cast<std::size_t>(status.st_size)}};
    }
    for (const written_range& range : ranges)
        copy_range(range.offset, range.size);
    if (ftruncate(copy, status.st_size) != 0)
        std::abort();
    close(copy);
    close(source);
    if (!is_new)
        return;
    const std::lock_guard<std::mutex> lock(names_mutex);
    std::FILE* const names = std::fopen(synced_path("new").c_str(), "a");
    const std::string name = std::filesystem::path(path_of(file)).filename();
    std::fprintf(names, "%llu %s\n", static_cast<unsigned long long>(status.st_ino), name.c_str());
    std::fclose(names);
}

void keep_names(const std::string& folder) {
    const std::lock_guard<std::mutex> lock(names_mutex);
    const std::string temporary = synced_path("names.tmp");
    std::FILE* const names = std::fopen(temporary.c_str(), "w");
    for (const std::filesystem::directory_entry& one :
         std::filesystem::directory_iterator(folder)) {
        struct stat status {};
        if (stat(one.path().c_str(), &status) == 0)
            std::fprintf(names, "%llu %s\n", static_cast<unsigned long long>(status.st_ino),
                         one.path().filename().c_str());
    }
    std::fclose(names);
    std::filesystem::rename(temporary, synced_path("names"));
    std::filesystem::remove(synced_path("new"));
}

int sync_and_keep(int file) {
    static const auto real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, "fsync"));
    const std::string path = path_of(file);
    struct stat status {};
    const bool is_kept = is_tracked(path) && fstat(file, &status) == 0;
    if (is_kept)
        usleep(static_cast<useconds_t>(std::atoi(std::getenv("CASSIA_SYNC_DELAY_US"))));
    const int result = real(file);
    if (result != 0 || !is_kept)
        return result;
    if (S_ISDIR(status.st_mode))
        keep_names(path);
    else
        keep_content(file, status);
    return 0;
}

} // namespace

extern "C" {

ssize_t pwrite(int file, const void* bytes, size_t size, off_t offset) {
    struct stat status {};
    if (tracked_folder() != nullptr && fstat(file, &status) == 0) {
        const std::lock_guard<std::mutex> lock(mutex);
        written[status.st_ino].push_back({offset, size});
    }
    write_whole(file, static_cast<const char*>(bytes), size, offset);
    return static_cast<ssize_t>(size);
}

ssize_t pwrite64(int file, const void* bytes, size_t size, off64_t offset) {
    return pwrite(file, bytes, size, offset);
}

int fsync(int file) {
    return sync_and_keep(file);
}

int fdatasync(int file) {
    return sync_and_keep(file);
}
}
