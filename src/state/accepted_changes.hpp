#pragma once
// Memory of the configuration changes that the replicated state has accepted. A change that is sent
// again after a lost answer is recognised by it and acknowledged again, however many others came since.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace duneturn {

/// One accepted change.
struct AcceptedChange {
    std::int64_t configVersion = 0;    // that it made
    std::int64_t documentVersion = 0;  // of the operator's document; 0 if it bears none
    std::int64_t stateVersion = 0;     // of the state that holds it; 0 if an earlier format did not keep it
};

/// The changes that made the last versions of the configuration, one by one without a gap. Nothing is
/// known of the changes before them.
class AcceptedChanges {
  public:
    static constexpr auto CAPACITY = std::size_t(4096);  // changes remembered; a long day holds hundreds

    AcceptedChanges() = default;
    /// A memory that knows nothing of the changes up to `configVersion`, whose documents' versions were at
    /// most `documentVersion`.
    AcceptedChanges(std::int64_t configVersion, std::int64_t documentVersion)
        : forgottenVersion_(configVersion), forgottenDocumentVersion_(documentVersion) {}
    /// A memory with the records of recordsText(); none if the text is malformed.
    [[nodiscard]] static auto parse(std::int64_t forgottenVersion, std::int64_t forgottenDocumentVersion,
        const std::string& records) -> std::optional<AcceptedChanges>;

    /// Adds the change that made the next version of the configuration. Beyond CAPACITY the oldest one is
    /// forgotten.
    auto record(const std::string& key, std::int64_t documentVersion, std::int64_t stateVersion) -> void;
    /// The change with this idempotency key.
    [[nodiscard]] auto find(const std::string& key) const -> std::optional<AcceptedChange>;

    /// The version that the newest known change made.
    [[nodiscard]] auto configVersion() const -> std::int64_t;
    /// The highest version of the configuration, and of documents, of which it is not known who made it.
    [[nodiscard]] auto forgottenVersion() const -> std::int64_t { return forgottenVersion_; }
    [[nodiscard]] auto forgottenDocumentVersion() const -> std::int64_t { return forgottenDocumentVersion_; }

    /// All records in order, as stored: of each the digest of its key, its document's version and the
    /// state's version, in 16 hexadecimal characters each.
    [[nodiscard]] auto recordsText() const -> std::string;

  private:
    struct Record {
        std::uint64_t keyDigest = 0;
        std::int64_t documentVersion = 0;
        std::int64_t stateVersion = 0;
    };

    std::int64_t forgottenVersion_ = 0;
    std::int64_t forgottenDocumentVersion_ = 0;
    std::vector<Record> records_;  // the one at position i made the forgotten version + 1 + i
};

}  // namespace duneturn
