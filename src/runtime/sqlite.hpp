/// SQLite errors and prepared statements as C++ objects.
#pragma once

#include <cstdint>
#include <memory>
#include <sqlite3.h>
#include <stdexcept>
#include <string>

namespace marjoramtally {

/// A failed call of SQLite.
class SqliteError : public std::runtime_error
{
public:
  explicit SqliteError(const std::string& aMessage)
    : std::runtime_error(aMessage)
  {
  }
};

/// A prepared statement, executed row by row. Functions throw `SqliteError`.
class SqliteStatement
{
public:
  SqliteStatement(sqlite3* aDatabase, const std::string& aSql)
    : database_(aDatabase)
  {
    sqlite3_stmt* raw = nullptr;
    Check(sqlite3_prepare_v2(aDatabase, aSql.c_str(), -1, &raw, nullptr));
    statement_.reset(raw);
  }

  /// Binds the next parameter.
  SqliteStatement& Bind(std::int64_t aValue)
  {
    Check(sqlite3_bind_int64(statement_.get(), ++bound_, aValue));
    return *this;
  }
  SqliteStatement& Bind(const std::string& aValue)
  {
    Check(sqlite3_bind_blob(statement_.get(),
                            ++bound_,
                            aValue.data(),
                            static_cast<int>(aValue.size()),
                            SQLITE_TRANSIENT));
    return *this;
  }

  /// Moves to the next row.
  /// @returns whether there is one
  bool Step()
  {
    const int code = sqlite3_step(statement_.get());
    if (code == SQLITE_ROW) {
      return true;
    }
    if (code != SQLITE_DONE) {
      Check(code);
    }
    return false;
  }

  [[nodiscard]] std::int64_t Number(int aColumn) const
  {
    return sqlite3_column_int64(statement_.get(), aColumn);
  }
  [[nodiscard]] std::string Text(int aColumn) const
  {
    const auto* data =
      static_cast<const char*>(sqlite3_column_blob(statement_.get(), aColumn));
    const int size = sqlite3_column_bytes(statement_.get(), aColumn);
    return data == nullptr ? std::string()
                           : std::string(data, static_cast<std::size_t>(size));
  }

private:
  struct Finalize
  {
    void operator()(sqlite3_stmt* aStatement) const
    {
      sqlite3_finalize(aStatement);
    }
  };

  void Check(int aCode) const
  {
    if (aCode != SQLITE_OK) {
      throw SqliteError(sqlite3_errmsg(database_));
    }
  }

  sqlite3* database_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_ = 0;
};

} // namespace marjoramtally
