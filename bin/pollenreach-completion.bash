# Completion of the command line for bash: source bin/pollenreach-completion.bash

_pollenreach() {
  local word="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD - 1]}" verb="${COMP_WORDS[1]:-}"
  local client="--server --token --output --help" words
  case "$previous" in
    -f | --file | --settings) mapfile -t COMPREPLY < <(compgen -f -- "$word") && return ;;
    -o | --output) mapfile -t COMPREPLY < <(compgen -W "table json" -- "$word") && return ;;
    --log-level) mapfile -t COMPREPLY < <(compgen -W "debug info warning" -- "$word") && return ;;
    --as) mapfile -t COMPREPLY < <(compgen -W "entry agent declarations" -- "$word") && return ;;
  esac
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="entry agent check apply get watch submit cancel drain request where status explain help"
  else
    case "$verb" in
      entry | agent) words="--settings --log-level --help" ;;
      check) words="--as --help $(compgen -f -- "$word")" ;;
      apply) words="--file --dry-run --wait --wait-timeout-ms $client" ;;
      get) words="workspaces policies jobs targets request --workspace $client" ;;
      watch) words="job --silence-timeout-ms $client" ;;
      submit) words="--file --wait $client" ;;
      drain) words="--undo $client" ;;
      where) words="job request --file $client" ;;
      request) words="--data --content-type --idempotent --id --deadline-ms $client" ;;
      *) words="$client" ;;
    esac
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _pollenreach pollenreach
