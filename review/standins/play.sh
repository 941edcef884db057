# Plays the case in the folder of the script that sources this file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins
timeout -k 5 118 python3 case.py
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
