#!/usr/bin/env bash
# Usage: check-words.sh [--list [FOLDER] | --write-list]
#
# Refuses withdrawn words (scripts/withdrawn-words.txt) in the sources of src/ and platform/, in code and
# comments, and in the pages of docs/. Names are split at capitals and underscores, so that stateWord and
# state_word both hold "word". Not looked at: string literals, which carry the names of the wire, the stored
# format and flags; what stands in quotes or backquotes in a comment; code spans and blocks of pages; the
# files that the list exempts.
#
# Of a folder as many words may be left as the list states, which may only shrink: a folder that has none
# must be taken out of it. --list prints each word found, of all folders or of one; --write-list writes
# the numbers anew from what was found.
set -eu
cd "$(git rev-parse --show-toplevel)"

readonly LIST=scripts/withdrawn-words.txt

# The rest of each line of the list that begins with KIND.
entries() { sed -n "s/^$1 \+//p" $LIST; }

exempt() {
  local pattern
  while read -r pattern; do
    # The pattern is one of the shell's.
    # shellcheck disable=SC2053
    [[ $1 != $pattern ]] || return 0
  done < <(entries exempt)
  return 1
}

checked_files() {
  local file
  git ls-files 'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' 'docs/*.md' | while read -r file; do
    exempt "$file" || echo "$file"
  done
}

# FILE:LINE: WORD of each withdrawn word.
find_words() {
  local words allowed
  words=$(entries word | sed 's/ *->.*//' | paste -sd'|')
  allowed=$(entries allow | paste -sd'|')
  checked_files | WORDS=$words ALLOWED=${allowed:-(?!)} perl -ne '
    chomp;
    my $file = $_;
    open(my $in, "<", $file) or die "check-words: $file: $!\n";
    my $text = do { local $/; <$in> };
    # Blanks a piece of text, but for its ends of lines, so that later lines keep their numbers.
    sub blank { my $lines = ($_[0] =~ tr/\n//); return " " . "\n" x $lines; }
    if ($file =~ /\.md$/) {
      $text =~ s/^```.*?^```$/blank($&)/gmse;
      $text =~ s/^ {4}.*$//gm;
      $text =~ s/`[^`]*`/blank($&)/ge;
      $text =~ s/\]\([^)\s]*\)/]/g;
    } else {
      my $quoted = qr/"(?:\\.|[^"\\\n])*"|`[^`\n]*`/;
      $text =~ s{(//[^\n]*|/\*.*?\*/)|R"([^\s()\\]*)\(.*?\)\2"|"(?:\\.|[^"\\\n])*"|\x27(?:\\.|[^\x27\\\n])+\x27}{
        my $comment = $1;
        defined $comment ? $comment =~ s/$quoted/blank($&)/ger : blank($&)
      }gsex;
    }
    my $number = 0;
    for my $line (split /\n/, $text) {
      $number++;
      $line =~ s/([a-z0-9])([A-Z])/$1 $2/g;
      $line =~ s/([A-Z])([A-Z][a-z])/$1 $2/g;
      $line =~ tr/_/ /;
      $line = lc $line;
      $line =~ s/\b(?:$ENV{ALLOWED})\b/ /g;
      print "$file:$number: $1\n" while $line =~ /\b($ENV{WORDS})\b/g;
    }'
}

# COUNT FOLDER of each folder that holds withdrawn words.
count_by_folder() { sed 's/:.*//; s#/[^/]*$##' | sort | uniq -c | sed 's/^ *//'; }

faults=0
fault() {
  echo "check-words: $*" >&2
  faults=$((faults + 1))
}

[ -n "$(entries word)" ] || { echo "check-words: $LIST names no words" >&2; exit 1; }
found=$(find_words)

case ${1:-} in
  --list)
    [ -z "$found" ] || grep -E "^${2:-}" <<<"$found" || true
    exit 0
    ;;
  --write-list)
    kept=$(grep -v '^left ' $LIST)
    {
      echo "$kept"
      [ -z "$found" ] || count_by_folder <<<"$found" | sed 's/^/left /'
    } >$LIST
    exit 0
    ;;
esac

counts=$([ -z "$found" ] || count_by_folder <<<"$found")
while read -r count folder; do
  [ -n "$count" ] || continue
  allowed=$(entries left | awk -v folder="$folder" '$2 == folder { print $1 }')
  [ "$count" -le "${allowed:-0}" ] && continue
  fault "$folder has $count withdrawn words, ${allowed:-0} are allowed; found by: check-words.sh --list $folder"
  grep "^$folder/[^/]*:" <<<"$found" | head -20 >&2
done <<<"$counts"

while read -r count folder; do
  grep -q " $folder$" <<<"$counts" || fault "$folder has no withdrawn words: take it out of $LIST"
done < <(entries left)

[ $faults -eq 0 ] || exit 1
echo "check-words: $(grep -c . <<<"$found" || true) left, none beyond the list"
