// Fuzz target for received datagrams: decodes a datagram, encodes it again, and passes it to a replica.
// -DOCHREGRADE_FUZZ=ON (clang) builds the target with libFuzzer. Without libFuzzer, main() below runs the
// target on the corpus and on a given number of mutations of the corpus. The mutations are the same in each
// execution.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "replication/replica.hpp"

using namespace ochregrade::replication;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::span<const std::uint8_t> bytes(data, size);
    const auto decoded = decode(bytes);
    if (const auto* d = std::get_if<Datagram>(&decoded))
        if (const Bytes encoded = encode(*d); !std::equal(encoded.begin(), encoded.end(), data, data + size))
            std::abort();
    // The checksum of most mutations is wrong, so the replica does not decode them. With a corrected checksum
    // and format byte, it decodes more of them.
    constexpr Millis kNow = 1.7e12;
    Replica replica(1, 40, 1'700'000'000, 5);
    std::vector<Outgoing> out;
    replica.start(kNow, out);
    replica.publish(kNow, 3, {1, 1, 0, 0});
    replica.receive(kNow, 2, bytes, out);
    if (size >= kHeaderBytes && size <= kMaxDatagramBytes) {
        Bytes fixed(bytes.begin(), bytes.end());
        fixed[0] = kFormatByte;
        fix_checksum(fixed);
        for (int i = 0; i < 3; ++i) replica.receive(kNow + i, static_cast<MemberId>(2 + i), fixed, out);
    }
    for (Millis at = kNow; at < kNow + 3000; at = std::max(at + 1, replica.due())) replica.advance(at, out);
    for (const Outgoing& o : out)
        if (o.bytes.size() > kMaxDatagramBytes || (o.to >= 40 && o.to != kAllMembers) ||
            std::holds_alternative<DecodeError>(decode(o.bytes)))
            std::abort();
    if (replica.records() > 40 * kMaxRecordsPerOrigin) std::abort();
    return 0;
}

#ifndef OCHREGRADE_LIBFUZZER
namespace {

std::vector<Bytes> read_corpus(const char* directory) {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(directory)) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    std::vector<Bytes> corpus;
    for (const auto& path : files) {
        std::ifstream file(path, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return corpus;
}

void mutate(Bytes& bytes, const std::vector<Bytes>& corpus, std::mt19937_64& random) {
    switch (random() % 4) {
        case 0:
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
            break;
        case 1:
            bytes.resize(random() % (kMaxDatagramBytes + 20), static_cast<std::uint8_t>(random()));
            break;
        case 2:
            bytes[random() % bytes.size()] ^= static_cast<std::uint8_t>(1u << random() % 8);
            break;
        default: {
            const Bytes& other = corpus[random() % corpus.size()];
            const std::size_t header = std::min(kHeaderBytes, other.size());
            bytes.insert(bytes.end(), other.begin() + static_cast<std::ptrdiff_t>(header), other.end());
        }
    }
}

int fail(const char* message) {
    std::fputs(message, stderr);
    return 1;
}

}  // namespace

// Arguments: the corpus directory and the number of mutations.
int main(int argc, char** argv) {
    if (argc != 3) return 2;
    const std::vector<Bytes> corpus = read_corpus(argv[1]);
    if (corpus.size() < 7) return fail("the corpus has fewer than 7 files\n");
    for (const Bytes& seed : corpus) {
        if (std::holds_alternative<DecodeError>(decode(seed)))
            return fail("a file of the corpus is not a valid datagram\n");
        LLVMFuzzerTestOneInput(seed.data(), seed.size());
    }
    std::mt19937_64 random(1);
    const long mutations = std::strtol(argv[2], nullptr, 10);
    for (long i = 0; i < mutations; ++i) {
        Bytes bytes = corpus[random() % corpus.size()];
        for (auto changes = 1 + random() % 8; changes > 0 && !bytes.empty(); --changes)
            mutate(bytes, corpus, random);
        LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
    }
    std::printf("%zu seeds and %ld mutations\n", corpus.size(), mutations);
    return 0;
}
#endif
