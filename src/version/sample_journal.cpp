#include "marjoramtally/version/sample_journal.hpp"

#include <nlohmann/json.hpp>
#include <sqlite3.h>
#include <xxhash.h>

namespace marjoramtally {

namespace {

using Json = nlohmann::json;
using ByteString = std::vector<std::uint8_t>;

constexpr const char* kSchema =
  "PRAGMA journal_mode=WAL; PRAGMA synchronous=NORMAL;"
  "CREATE TABLE IF NOT EXISTS candidates("
  "trainer TEXT, step INTEGER, sample INTEGER, content INTEGER,"
  "body BLOB, checksum INTEGER, PRIMARY KEY(trainer, step, sample));";
constexpr const char* kInsert =
  "INSERT OR REPLACE INTO candidates VALUES(?1,?2,?3,?4,?5,?6)";
constexpr const char* kSelect =
  "SELECT body, checksum, rowid FROM candidates "
  "WHERE trainer=?1 AND step=?2 AND content=?3 ORDER BY rowid";
constexpr const char* kDeleteStep =
  "DELETE FROM candidates WHERE trainer=?1 AND step=?2";
constexpr const char* kDeleteRow = "DELETE FROM candidates WHERE rowid=?1";
constexpr const char* kSum =
  "SELECT COALESCE(SUM(LENGTH(body)),0) FROM candidates";
constexpr const char* kOldest =
  "SELECT rowid, LENGTH(body) FROM candidates ORDER BY rowid LIMIT 1";

std::int64_t
Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

struct CloseDatabase
{
  void operator()(sqlite3* aDatabase) const { sqlite3_close(aDatabase); }
};
using Database = std::unique_ptr<sqlite3, CloseDatabase>;

/// A prepared statement; parameters are bound in order.
class Statement
{
public:
  Statement(sqlite3* aDatabase, const char* aText)
  {
    sqlite3_prepare_v2(aDatabase, aText, -1, &statement_, nullptr);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Bind(const std::string& aText)
  {
    sqlite3_bind_text(statement_,
                      ++bound_,
                      aText.data(),
                      static_cast<int>(aText.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Bind(std::uint64_t aNumber)
  {
    sqlite3_bind_int64(statement_, ++bound_, Signed(aNumber));
    return *this;
  }
  Statement& Bind(const ByteString& aBytes)
  {
    sqlite3_bind_blob(statement_,
                      ++bound_,
                      aBytes.data(),
                      static_cast<int>(aBytes.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  /// @returns `SQLITE_ROW`, `SQLITE_DONE` or an error
  int Step() { return sqlite3_step(statement_); }
  [[nodiscard]] std::uint64_t Number(int aColumn) const
  {
    return static_cast<std::uint64_t>(
      sqlite3_column_int64(statement_, aColumn));
  }
  [[nodiscard]] ByteString Blob(int aColumn) const
  {
    const auto* data = static_cast<const std::uint8_t*>(
      sqlite3_column_blob(statement_, aColumn));
    const int size = sqlite3_column_bytes(statement_, aColumn);
    return data == nullptr ? ByteString{} : ByteString(data, data + size);
  }

private:
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

/// @returns a hash that distinguishes steps with equal numbers but different
/// content
std::uint64_t
ContentOf(const StepSpec& aSpec)
{
  std::uint64_t hash = aSpec.version_.Get();
  const auto mix = [&hash](const void* aData, std::size_t aSize) {
    hash = XXH64(aData, aSize, hash);
  };
  mix(&aSpec.groupSize_, sizeof aSpec.groupSize_);
  mix(&aSpec.maxTokens_, sizeof aSpec.maxTokens_);
  for (const std::string& prompt : aSpec.prompts_) {
    mix(prompt.data(), prompt.size());
  }
  return hash;
}

std::uint64_t
ChecksumOf(const ByteString& aBody)
{
  return XXH64(aBody.data(), aBody.size(), 0);
}

ByteString
EncodeSample(const Sample& aSample)
{
  Json spans = Json::array();
  for (const VersionSpan& span : aSample.spans_) {
    spans.push_back({ span.version_.Get(), span.from_, span.to_ });
  }
  return Json::to_cbor(Json{
    { "group", aSample.id_.group_ },
    { "member", aSample.id_.member_ },
    { "text", Json::binary({ aSample.text_.begin(), aSample.text_.end() }) },
    { "tokens", aSample.tokens_ },
    { "spans", spans },
    { "reward", aSample.reward_ },
    { "upstream", aSample.upstream_.Get() } });
}

std::optional<Sample>
DecodeSample(StepId aStep, const ByteString& aBody)
{
  try {
    const Json body = Json::from_cbor(aBody);
    Sample sample;
    sample.id_ = { aStep,
                   body.at("group").get<std::uint32_t>(),
                   body.at("member").get<std::uint32_t>() };
    const auto& text = body.at("text").get_binary();
    sample.text_.assign(text.begin(), text.end());
    sample.tokens_ = body.at("tokens").get<std::uint32_t>();
    for (const Json& span : body.at("spans")) {
      sample.spans_.push_back(
        { WeightVersion{ span.at(0).get<std::uint64_t>() },
          span.at(1).get<std::uint32_t>(),
          span.at(2).get<std::uint32_t>() });
    }
    sample.reward_ = body.at("reward").get<double>();
    sample.upstream_ = UpstreamId{ body.at("upstream").get<std::string>() };
    return sample;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

class SqliteJournal final : public SampleJournal
{
public:
  SqliteJournal(Database aDatabase, std::uint64_t aMaxBytes)
    : database_(std::move(aDatabase))
    , maxBytes_(aMaxBytes)
  {
    Recount();
  }

  Result<bool> Append(const TrainerId& aTrainer,
                      const StepSpec& aSpec,
                      const Sample& aSample) override
  {
    const ByteString body = EncodeSample(aSample);
    const std::uint64_t index =
      aSample.id_.group_ * aSpec.groupSize_ + aSample.id_.member_;
    Statement insert(database_.get(), kInsert);
    insert.Bind(aTrainer.Get()).Bind(aSpec.step_.Get()).Bind(index);
    insert.Bind(ContentOf(aSpec)).Bind(body).Bind(ChecksumOf(body));
    if (insert.Step() != SQLITE_DONE) {
      return Failure();
    }
    bytes_ += body.size();
    return bytes_ <= maxBytes_ ? Result<bool>(true) : RemoveOldest();
  }

  Result<JournalRead> Read(const TrainerId& aTrainer,
                           const StepSpec& aSpec) override
  {
    JournalRead read;
    std::vector<std::uint64_t> corrupt;
    Statement select(database_.get(), kSelect);
    select.Bind(aTrainer.Get()).Bind(aSpec.step_.Get());
    select.Bind(ContentOf(aSpec));
    int state = select.Step();
    for (; state == SQLITE_ROW; state = select.Step()) {
      const ByteString body = select.Blob(0);
      auto sample = select.Number(1) == ChecksumOf(body)
                      ? DecodeSample(aSpec.step_, body)
                      : std::nullopt;
      if (sample) {
        read.samples_.push_back(*std::move(sample));
      } else {
        corrupt.push_back(select.Number(2));
      }
    }
    if (state != SQLITE_DONE) {
      return Failure();
    }
    read.corrupt_ = corrupt.size();
    for (const std::uint64_t row : corrupt) {
      Statement(database_.get(), kDeleteRow).Bind(row).Step();
    }
    Recount();
    return read;
  }

  Result<bool> Remove(const TrainerId& aTrainer, StepId aStep) override
  {
    Statement remove(database_.get(), kDeleteStep);
    if (remove.Bind(aTrainer.Get()).Bind(aStep.Get()).Step() != SQLITE_DONE) {
      return Failure();
    }
    Recount();
    return true;
  }

  std::uint64_t Bytes() const noexcept override { return bytes_; }

private:
  Error Failure() const
  {
    return { ErrorKind::Internal,
             std::string("journal: ") + sqlite3_errmsg(database_.get()) };
  }

  void Recount()
  {
    Statement sum(database_.get(), kSum);
    bytes_ = sum.Step() == SQLITE_ROW ? sum.Number(0) : 0;
  }

  Result<bool> RemoveOldest()
  {
    Recount();
    while (bytes_ > maxBytes_) {
      Statement oldest(database_.get(), kOldest);
      if (oldest.Step() != SQLITE_ROW) {
        return Failure();
      }
      const std::uint64_t row = oldest.Number(0);
      const std::uint64_t size = oldest.Number(1);
      if (Statement(database_.get(), kDeleteRow).Bind(row).Step() !=
          SQLITE_DONE) {
        return Failure();
      }
      bytes_ -= size;
    }
    return true;
  }

  Database database_;
  std::uint64_t maxBytes_;
  std::uint64_t bytes_ = 0;
};

} // namespace

Result<std::unique_ptr<SampleJournal>>
SampleJournal::Open(const std::string& aFile, std::uint64_t aMaxBytes)
{
  sqlite3* opened = nullptr;
  const int state = sqlite3_open(aFile.c_str(), &opened);
  Database database(opened);
  char* message = nullptr;
  if (state != SQLITE_OK ||
      sqlite3_exec(opened, kSchema, nullptr, nullptr, &message) != SQLITE_OK) {
    Error error{ ErrorKind::Internal,
                 "journal " + aFile + ": " +
                   (message == nullptr ? sqlite3_errmsg(opened) : message) };
    sqlite3_free(message);
    return error;
  }
  return std::unique_ptr<SampleJournal>(
    std::make_unique<SqliteJournal>(std::move(database), aMaxBytes));
}

} // namespace marjoramtally
